use std::fmt;
use std::path::PathBuf;

use super::Fault;

/// Time before the first fault, and minimum time from the beginning of the last one to the end of
/// the plan.
const MARGIN_MS: u64 = 1_000;

/// Upper bound of the time between two faults that don't begin together.
const MAX_GAP_MS: u64 = 2_000;

/// Percentage of faults that begin at the same time as the one before.
const TOGETHER_PERCENT: u32 = 40;

/// Settings of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// Seed from which the faults and their times are drawn.
    pub seed: u64,
    /// Duration of the plan, in seconds.
    pub seconds: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines; two endpoints of a plain service are added to them.
    pub engines: usize,
    /// Number of fabric domains that the engines are in.
    pub domains: usize,
    /// Folder for the logs, the report and the plots.
    pub dir: PathBuf,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 20,
            routers: 2,
            engines: 9,
            domains: 1,
            dir: PathBuf::from("target/soak"),
        }
    }
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Milliseconds after the beginning.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// All faults of a soak, in order. The same settings give the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Optional parts of the policy that are switched on.
    pub features: Vec<&'static str>,
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Draws a plan from the seed of the settings.
    pub fn draw(settings: &SoakSettings) -> Self {
        let mut rng = fastrand::Rng::with_seed(settings.seed);
        let mut faults = Vec::new();
        let mut at_ms = MARGIN_MS;
        while at_ms + MARGIN_MS < settings.seconds * 1_000 {
            let fault = draw(&mut rng, settings.routers);
            faults.push(PlannedFault { at_ms, fault });
            if rng.u32(0..100) >= TOGETHER_PERCENT {
                at_ms += rng.u64(200..MAX_GAP_MS);
            }
        }
        faults.extend(draw_further(settings));
        faults.extend(draw_floods(settings));
        faults.extend(draw_prompts_and_connections(settings));
        faults.extend(draw_cuts_and_copies(settings));
        faults.extend(draw_waves(settings, &faults));
        faults.extend(draw_freezes(settings));
        faults.extend(draw_late_renewals(settings));
        faults.sort_by_key(|planned| planned.at_ms);
        Self {
            faults,
            features: draw_features(settings),
        }
    }
}

/// Optional parts of the policy that a soak knows checks of.
pub const FEATURES: [&str; 2] = ["admission", "returns"];

/// Draws which optional parts of the policy are switched on: each in half of the seeds.
fn draw_features(settings: &SoakSettings) -> Vec<&'static str> {
    let mut rng = fastrand::Rng::with_seed(settings.seed.rotate_left(32));
    FEATURES.into_iter().filter(|_| rng.bool()).collect()
}

/// Draws floods by one account, one in about seven seconds.
fn draw_floods(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(!settings.seed.rotate_left(32));
    let mut faults = Vec::new();
    let mut at_ms = MARGIN_MS;
    loop {
        at_ms += rng.u64(2_000..6_000);
        let ms = rng.u64(2_000..3_500);
        if at_ms + ms + MARGIN_MS >= settings.seconds * 1_000 {
            return faults;
        }
        let fault = Fault::Flood(ms);
        faults.push(PlannedFault { at_ms, fault });
        at_ms += ms;
    }
}

/// Draws requests with a fatal segment, answers without framing, and times in which one router gets all
/// new connections. They don't overlap each other.
fn draw_prompts_and_connections(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(settings.seed.rotate_left(16));
    let mut faults = Vec::new();
    let mut at_ms = MARGIN_MS;
    loop {
        at_ms += rng.u64(500..3_000);
        let ms = rng.u64(1_000..3_000);
        let (fault, length) = match rng.u32(0..3) {
            0 => (Fault::FatalSegment(rng.u32(6..20)), 3_000),
            1 => (Fault::Unframed(ms), ms),
            _ => {
                let router = rng.usize(0..settings.routers);
                (Fault::Concentrate(router, 3_000 + ms), 3_000 + ms)
            }
        };
        if at_ms + length + MARGIN_MS >= settings.seconds * 1_000 {
            return faults;
        }
        faults.push(PlannedFault { at_ms, fault });
        at_ms += length;
    }
}

/// Draws heads that are cut off from all routers, and refusals that come twice. They don't overlap each
/// other.
fn draw_cuts_and_copies(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(!settings.seed.rotate_left(16));
    let mut faults = Vec::new();
    let mut at_ms = MARGIN_MS;
    loop {
        at_ms += rng.u64(1_000..4_000);
        let ms = rng.u64(1_000..6_000);
        if at_ms + ms + MARGIN_MS >= settings.seconds * 1_000 {
            return faults;
        }
        let fault = match rng.bool() {
            true => Fault::CutHead(ms),
            false => Fault::RepeatRefusals(ms),
        };
        faults.push(PlannedFault { at_ms, fault });
        at_ms += ms;
    }
}

/// Draws failures of several engines at once: by themselves, and beside requests that crash endpoints.
fn draw_waves(settings: &SoakSettings, others: &[PlannedFault]) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(settings.seed.rotate_left(48));
    let end_ms = settings.seconds * 1_000 - MARGIN_MS;
    let mut times = Vec::new();
    let mut at_ms = MARGIN_MS + rng.u64(2_000..6_000);
    while at_ms < end_ms {
        times.push(at_ms);
        at_ms += rng.u64(4_000..9_000);
    }
    let is_fatal = |f: &Fault| matches!(f, Fault::FatalRequest(_) | Fault::FatalSegment(_));
    for fatal in others.iter().filter(|p| is_fatal(&p.fault)) {
        if rng.bool() {
            times.push(fatal.at_ms + rng.u64(100..1_500));
        }
    }
    let draw = |at_ms: u64| {
        let fault = match rng.bool() {
            true => Fault::ResetEngines(rng.usize(1..4), rng.u64(300..1_500)),
            false => Fault::CrashWave(rng.usize(20..50)),
        };
        PlannedFault { at_ms, fault }
    };
    times
        .into_iter()
        .filter(|at| *at < end_ms)
        .map(draw)
        .collect()
}

/// Draws engines that are frozen at once, half of the times beside a router that is. They don't overlap
/// each other.
fn draw_freezes(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(!settings.seed.rotate_left(48));
    let mut faults = Vec::new();
    let mut at_ms = MARGIN_MS;
    loop {
        at_ms += rng.u64(1_000..4_000);
        let ms = rng.u64(500..9_000);
        if at_ms + ms + MARGIN_MS >= settings.seconds * 1_000 {
            return faults;
        }
        let fault = Fault::FreezeEngines(rng.usize(2..5), ms);
        faults.push(PlannedFault { at_ms, fault });
        if rng.bool() {
            let router = rng.usize(0..settings.routers);
            let fault = Fault::FreezeRouter(router, rng.u64(300..1_500));
            let at_ms = at_ms + rng.u64(0..ms);
            faults.push(PlannedFault { at_ms, fault });
        }
        at_ms += ms;
    }
}

/// Draws times in which answers to lease renewals are late. The planner lease of 1 s then lapses by the
/// planner's clock, and goes on. They don't overlap each other.
fn draw_late_renewals(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(settings.seed.rotate_left(8));
    let mut faults = Vec::new();
    let mut at_ms = MARGIN_MS;
    loop {
        at_ms += rng.u64(1_000..5_000);
        let ms = rng.u64(1_500..4_000);
        if at_ms + ms + MARGIN_MS >= settings.seconds * 1_000 {
            return faults;
        }
        let fault = Fault::LateRenewals(rng.u64(600..900), ms);
        faults.push(PlannedFault { at_ms, fault });
        at_ms += ms;
    }
}

/// Draws what endpoints ask for, and further faults of the store. They are drawn by themselves, so
/// that the other faults of a seed stay what they were.
fn draw_further(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = fastrand::Rng::with_seed(!settings.seed);
    let mut faults = Vec::new();
    let mut at_ms = MARGIN_MS;
    loop {
        at_ms += rng.u64(300..MAX_GAP_MS);
        if at_ms + MARGIN_MS >= settings.seconds * 1_000 {
            return faults;
        }
        let router = rng.usize(0..settings.routers);
        let ms = rng.u64(200..2_500);
        let fault = match rng.u32(0..10) {
            0..3 => Fault::HoldOff(rng.u64(300..3_000), 1_000 + 2 * ms),
            3..5 => Fault::Leave(2_500 + ms),
            5 => Fault::OneWayStore(router, ms),
            6 => Fault::LostAnswers(ms),
            7 => Fault::LateWrites(ms),
            8 => Fault::ForgetHistory,
            _ => Fault::Reload(router),
        };
        faults.push(PlannedFault { at_ms, fault });
    }
}

fn draw(rng: &mut fastrand::Rng, routers: usize) -> Fault {
    let router = rng.usize(0..routers);
    let ms = rng.u64(200..2_500);
    match rng.u32(0..18) {
        0 | 1 => Fault::KillRouter(router),
        2 | 3 => Fault::StopRouter(router),
        4 => Fault::FreezeRouter(router, ms),
        5 => Fault::CutStore(router, ms),
        6 => Fault::SlowStore(router, ms),
        7 => Fault::SilentStore(router, ms),
        8 => Fault::StoreDown(ms),
        9 => Fault::StoreRestored(ms / 2),
        10 | 11 => Fault::ReplaceMember,
        12 => Fault::RestartEndpoint,
        13 => Fault::ForeignEntry,
        14 | 15 => Fault::Configure,
        16 => Fault::FatalRequest(rng.u32(4..10)),
        _ => Fault::LimitEndpoint(rng.u32(1..4), 6_000 + ms),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "switched on: {:?}", self.features)?;
        for PlannedFault { at_ms, fault } in &self.faults {
            writeln!(f, "{:>7.3} s  {fault}", *at_ms as f64 / 1_000.0)?;
        }
        Ok(())
    }
}
