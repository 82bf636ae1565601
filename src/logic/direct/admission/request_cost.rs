use crate::types::EngineSpec;

/// Cost of a request to a service without an engine, in microseconds. Within one service only the
/// proportion between requests matters, and these are taken to be equal.
const PLAIN_COST_US: u64 = 15_000;

/// Estimated engine time of a request in microseconds: its prompt at the reading rate, and its
/// answer at the step time of a group that is half full. Lengths that the caller doesn't tell are
/// the usual ones.
pub fn request_cost(
    engine: Option<&EngineSpec>,
    model: Option<&str>,
    (prompt, answer): (u32, u32),
) -> u64 {
    let Some(engine) = engine else {
        return PLAIN_COST_US;
    };
    let pace = model
        .and_then(|m| engine.model(m))
        .map_or(1_000, |m| m.pace);
    let or_usual = |given: u32, usual: u32| u64::from(if given > 0 { given } else { usual });
    let prompt = or_usual(prompt, engine.usual_prompt);
    let answer = or_usual(answer, engine.usual_answer);
    let step_us = engine.step_us + engine.per_request_ns * u64::from(engine.slots) / 2_000;
    let read_us = prompt * 1_000_000 / engine.read_rate.max(1);
    ((read_us + answer * step_us) * pace / 1_000).max(1)
}
