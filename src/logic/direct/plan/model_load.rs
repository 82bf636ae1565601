//! Estimates which part of a model's demand a number of its groups serve in time.
//!
//! An engine works in passes: it reads the prompts that have arrived, then generates some
//! tokens for every running request. A pass takes as long as that work, so under higher
//! load passes last longer, and more requests arrive within each. Whether answers are late
//! depends on the length of passes compared with the pauses that callers tolerate, not on
//! utilization alone: at equal utilization a model with long prompts is late far more often.

/// Part of the demand served from which on further groups are only evaluated while they add
/// something. Below it a few more groups may add nothing although many more do.
const NEARLY_ALL_SERVED: f64 = 0.9;

/// What further groups must add from there on, as a part of the demand.
const MIN_GAIN: f64 = 1e-4;

/// Largest number of points of the curve that are computed: the work of a planning pass
/// should not grow with the fleet, as a planner may have only a fifth of a core.
const MAX_POINTS: usize = 64;

/// Steps in which the admitted part of the requests is varied; the rest is refused. Routers
/// limit what they send to a head in the same way.
const ADMISSION_STEPS: u32 = 10;

/// Utilization of a group from which on it is taken to serve nothing in time, as passes
/// grow without bound.
const MAX_UTILIZATION: f64 = 0.95;

/// Credit of a late answer relative to one in time, as operators count it.
const LATE_CREDIT_FACTOR: f64 = 0.25;

/// Passes until a request's first token, on average: half of the running pass, and the
/// request's own.
const PASSES_TO_FIRST_TOKEN: f64 = 1.5;

/// Demand for one model, and how its groups work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ModelLoad {
    /// Requests per second.
    pub request_rate: f64,
    /// Mean length of a prompt, in tokens.
    pub prompt_tokens: f64,
    /// Mean square of a prompt's length, in tokens squared.
    pub prompt_square: f64,
    /// Mean length of an answer, in tokens.
    pub answer_tokens: f64,
    /// Longest pause within an answer that callers tolerate, in milliseconds.
    pub pause_ms: f64,
    /// Time within which an answer should start, in milliseconds.
    pub first_ms: f64,
    /// Time to read one prompt token, in milliseconds.
    pub read_ms: f64,
    /// Token steps of one pass.
    pub stride: f64,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Requests that a group runs at once.
    pub slots: f64,
    /// Losses of a member of one group per second.
    pub loss_rate: f64,
    /// Seconds until a group that has lost a member serves again.
    pub repair_s: f64,
}

impl ModelLoad {
    /// Part of the demand that this number of groups serves in time, with late answers counted
    /// by their credit and groups under repair left out.
    pub(super) fn served(&self, groups: usize) -> f64 {
        let available = groups as f64 / (1.0 + self.loss_rate * self.repair_s);
        if available <= 0.0 {
            return 0.0;
        }
        let with_admission = |step: u32| {
            let part = f64::from(step) / f64::from(ADMISSION_STEPS);
            part * self.credit(self.request_rate * part / available)
        };
        (1..=ADMISSION_STEPS)
            .map(with_admission)
            .fold(0.0, f64::max)
    }

    /// The part served by number of groups, from none up to as many as add anything, at most
    /// `max`. If `max` exceeds `MAX_POINTS`, values between computed points are interpolated.
    pub(super) fn curve(&self, max: usize) -> Vec<f64> {
        let step = max.div_ceil(MAX_POINTS).max(1);
        let mut curve = vec![0.0];
        let mut last = 0.0;
        while curve.len() <= max {
            let groups = (curve.len() - 1 + step).min(max);
            let served = self.served(groups);
            let steps = groups + 1 - curve.len();
            let interpolated = |n: usize| last + (served - last) * n as f64 / steps as f64;
            curve.extend((1..=steps).map(interpolated));
            if last > NEARLY_ALL_SERVED && served - last < MIN_GAIN {
                break;
            }
            last = served;
        }
        curve
    }

    /// Mean credit of a request if one group gets `rate` requests per second.
    fn credit(&self, rate: f64) -> f64 {
        let rate_per_ms = rate / 1_000.0;
        let prompt_read_ms = self.prompt_tokens * self.read_ms;
        let utilization = rate_per_ms * (prompt_read_ms + self.answer_tokens * self.sequence_ms);
        if utilization >= MAX_UTILIZATION {
            return 0.0;
        }
        let stride = self.stride.max(1.0);
        let pass_ms = stride * self.step_ms / (1.0 - utilization);
        let passes = self.answer_tokens / stride;
        let running = rate_per_ms * passes * pass_ms;
        // Variance of the time spent on reading within one pass.
        let variance = rate_per_ms * pass_ms * self.prompt_square * self.read_ms.powi(2);
        let pause_late = tail_bound(self.pause_ms - pass_ms, variance, prompt_read_ms);
        let first_slack_ms = self.first_ms - PASSES_TO_FIRST_TOKEN * pass_ms - prompt_read_ms;
        let start_late = tail_bound(
            first_slack_ms,
            PASSES_TO_FIRST_TOKEN * variance,
            prompt_read_ms,
        );
        let slots_full = tail_bound(self.slots - running, running, 1.0);
        let duration_s = (passes + PASSES_TO_FIRST_TOKEN) * pass_ms / 1_000.0;
        let group_lasts = (-self.loss_rate * duration_s).exp();
        let in_time =
            (1.0 - pause_late).powf(passes) * (1.0 - start_late) * (1.0 - slots_full) * group_lasts;
        in_time + LATE_CREDIT_FACTOR * (1.0 - in_time)
    }
}

/// Bound on the probability that a sum of many terms exceeds its mean by `margin`, from the
/// sum's variance and the size of one term (Bernstein's inequality).
fn tail_bound(margin: f64, variance: f64, term: f64) -> f64 {
    if margin <= 0.0 {
        return 1.0;
    }
    (-margin * margin / (2.0 * (variance + term * margin / 3.0)).max(f64::EPSILON)).exp()
}
