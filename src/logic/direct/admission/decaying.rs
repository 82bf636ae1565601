use crate::types::Millis;

/// Length of one step of the decay.
pub(super) const STEP_MS: Millis = 100;

/// Steps after which half of a use is left: 2 s, in which a head serves some dozens of requests.
const HALF_LIFE_STEPS: u64 = 20;

/// What one step leaves of a use, in millionths: the twentieth root of a half.
const STEP_LEFT_MILLIONTHS: u128 = 965_936;

/// What is left of a use after each number of steps below the half-life, in millionths.
const LEFT_MILLIONTHS: [u128; HALF_LIFE_STEPS as usize] = left_after_steps();

const fn left_after_steps() -> [u128; HALF_LIFE_STEPS as usize] {
    let mut left = [1_000_000; HALF_LIFE_STEPS as usize];
    let mut step = 1;
    while step < left.len() {
        left[step] = left[step - 1] * STEP_LEFT_MILLIONTHS / 1_000_000;
        step += 1;
    }
    left
}

/// A use that decays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Decaying {
    pub(super) value: u64,
    /// Step up to which the value has decayed.
    pub(super) step: u64,
}

impl Decaying {
    /// What is left of it.
    pub fn get(self, now: Millis) -> u64 {
        self.at(now / STEP_MS)
    }

    /// Raises what is left to at least `value`.
    pub fn raise(&mut self, now: Millis, value: u64) {
        let step = now / STEP_MS;
        *self = Self {
            value: self.at(step).max(value),
            step,
        };
    }

    /// What is left of it at a step.
    pub(super) fn at(self, step: u64) -> u64 {
        let steps = step.saturating_sub(self.step);
        let halvings = (steps / HALF_LIFE_STEPS).min(63);
        let halved = self.value >> halvings;
        let left = LEFT_MILLIONTHS[(steps % HALF_LIFE_STEPS) as usize];
        (u128::from(halved) * left / 1_000_000) as u64
    }
}
