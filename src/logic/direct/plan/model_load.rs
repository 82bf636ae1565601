//! How much of what a model is asked for so many groups of it serve in time.
//!
//! An engine works in passes: it reads the prompts that have come, then every request
//! that writes gets some tokens. A pass takes as long as that reading and writing, so the
//! more comes the longer it takes, and the more comes within it. What is late follows
//! from how long passes are against the pauses that callers bear, not from how busy a
//! group is: at the same use a model with long prompts is late far more often.

/// Part served from which on a group more is reckoned with only where it adds something:
/// below it a few groups may add nothing that more of them do.
const NEARLY_ALL: f64 = 0.9;

/// What one more group must add there, as a part of what is asked for.
const LEAST_GAIN: f64 = 1e-4;

/// Numbers of groups that are reckoned one by one: the work of a look should not grow with
/// the fleet where a planner has a fifth of a core. A choice; not measured apart.
const POINTS: usize = 64;

/// Part of the requests, in steps, that a group may be given: what is more is refused.
/// Routers limit what they send to a head in the same way.
const STEPS: u32 = 10;

/// Use of a group beyond which passes grow without end.
const FULL_USE: f64 = 0.95;

/// Credit of an answer that is late, against one in time: what operators give today.
const LATE: f64 = 0.25;

/// Passes that a request waits on average until its first token: half of the one that
/// runs, and its own.
const PASSES_TO_FIRST: f64 = 1.5;

/// What one model is asked for in a second, and how its groups work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ModelLoad {
    /// Requests a second.
    pub requests: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean square of a prompt's tokens.
    pub square: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
    /// Longest pause that callers bear, in milliseconds.
    pub pause_ms: f64,
    /// Time within which an answer should begin, in milliseconds.
    pub first_ms: f64,
    /// Milliseconds for reading one token.
    pub read_ms: f64,
    /// Token steps of one pass.
    pub stride: f64,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Milliseconds that each request that writes adds to a step.
    pub sequence_ms: f64,
    /// Requests that a group works on at once.
    pub slots: f64,
    /// Losses of a group in a second.
    pub losses: f64,
    /// Seconds until a group that has lost a member serves again.
    pub repair_s: f64,
}

impl ModelLoad {
    /// Part of what is asked for that so many groups serve in time, late answers counted
    /// by their credit.
    pub(super) fn served(&self, groups: usize) -> f64 {
        let there = groups as f64 / (1.0 + self.losses * self.repair_s);
        if there <= 0.0 {
            return 0.0;
        }
        let with = |step: u32| {
            let part = f64::from(step) / f64::from(STEPS);
            part * self.credit(self.requests * part / there)
        };
        (1..=STEPS).map(with).fold(0.0, f64::max)
    }

    /// What so many groups serve, from none up to as many as add anything. Where there may
    /// be more than `POINTS`, those between two points are interpolated.
    pub(super) fn curve(&self, most: usize) -> Vec<f64> {
        let step = most.div_ceil(POINTS).max(1);
        let mut curve = vec![0.0];
        let mut last = 0.0;
        while curve.len() <= most {
            let groups = (curve.len() - 1 + step).min(most);
            let served = self.served(groups);
            let steps = groups + 1 - curve.len();
            let between = |n: usize| last + (served - last) * n as f64 / steps as f64;
            curve.extend((1..=steps).map(between));
            if last > NEARLY_ALL && served - last < LEAST_GAIN {
                break;
            }
            last = served;
        }
        curve
    }

    /// Mean credit of a request where one group gets so many in a second.
    fn credit(&self, rate: f64) -> f64 {
        let a_ms = rate / 1_000.0;
        let reading = self.prompt * self.read_ms;
        let used = a_ms * (reading + self.answer * self.sequence_ms);
        if used >= FULL_USE {
            return 0.0;
        }
        let stride = self.stride.max(1.0);
        let pass = stride * self.step_ms / (1.0 - used);
        let passes = self.answer / stride;
        let writing = a_ms * passes * pass;
        // Variance of the time that reading takes within one pass.
        let spread = a_ms * pass * self.square * self.read_ms.powi(2);
        let paused = exceeds(self.pause_ms - pass, spread, reading);
        let first = self.first_ms - PASSES_TO_FIRST * pass - reading;
        let begins = exceeds(first, PASSES_TO_FIRST * spread, reading);
        let full = exceeds(self.slots - writing, writing, 1.0);
        let lasts = (passes + PASSES_TO_FIRST) * pass / 1_000.0;
        let stays = (-self.losses * lasts).exp();
        let in_time = (1.0 - paused).powf(passes) * (1.0 - begins) * (1.0 - full) * stays;
        in_time + LATE * (1.0 - in_time)
    }
}

/// Bound on the chance that a sum of many parts exceeds its mean by `by`, with the
/// sum's variance and the size of one part (Bernstein's inequality).
fn exceeds(by: f64, variance: f64, part: f64) -> f64 {
    if by <= 0.0 {
        return 1.0;
    }
    (-by * by / (2.0 * (variance + part * by / 3.0)).max(f64::EPSILON)).exp()
}
