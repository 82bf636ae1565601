//! Numbers that a platform fills into the settings: fractions, empty, zero and very large.

use std::process::Command;

use runrail::logic::direct::{
    DirectParams, FeatureMode, Features, Mechanism, RetryBounds, RetryWindow,
};
use runrail::settings::DirectSettings;
use runrail::types::EngineSpec;

/// Numbers that the platform fills into the template.
const NUMBERS: [&str; 11] = [
    "Platform.ReadsPerS",
    "Bounds.DrainMs",
    "Bounds.ConfigApplyMs",
    "Bounds.RetryBudgetRatio",
    "Bounds.BudgetExtra",
    "Bounds.BudgetWindowS",
    "Bounds.GraceS",
    "Bounds.ColdOverage",
    "Bounds.ColdSlack",
    "Limits.MemoryMb",
    "Limits.MaxFds",
];

/// The template with all placeholders filled in, that of `field` with `value`.
fn fill_template(field: &str, value: &str) -> String {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/router.ini");
    let mut text = std::fs::read_to_string(file).expect("the template");
    text = text.replace(&format!("{{{{{field}}}}}"), value);
    for (name, content) in [
        ("Node", "front-1"),
        ("Zone", "hall-a"),
        ("Listen.Front", "10.0.0.1:80"),
        ("Listen.Ready", "10.0.0.1:81"),
        ("Ip", "10.0.0.1"),
        ("PortRange.0", "7340"),
        ("Platform.Address", "10.0.0.2:80"),
        ("FirstStart", "true"),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), content);
    }
    for name in NUMBERS {
        text = text.replace(&format!("{{{{{name}}}}}"), "10");
        // A section is there as its field is given.
        for mark in ["#", "/"] {
            text = text.replace(&format!("{{{{{mark}{name}}}}}"), "");
        }
    }
    assert!(
        !text.contains("{{"),
        "a placeholder that this test doesn't know: {text}"
    );
    text
}

fn load(text: &str) -> Result<DirectSettings, String> {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("router.ini");
    std::fs::write(&file, text).expect("a file");
    DirectSettings::load(&file).map_err(|e| e.to_string())
}

#[test]
fn every_figure_of_the_platform_may_be_a_fraction_zero_huge_or_missing() {
    for field in NUMBERS {
        for value in ["57.35", "0", "1e300", ""] {
            let read = load(&fill_template(field, value));
            let settings = read.unwrap_or_else(|why| panic!("{field} = {value:?}: {why}"));
            assert_eq!(
                settings.missing_values.len(),
                usize::from(value.is_empty()),
                "{field}"
            );
        }
    }
}

#[test]
fn what_is_no_number_or_below_zero_is_a_fault_with_its_place() {
    for field in NUMBERS {
        for value in ["-1", "NaN", "many"] {
            let why = load(&fill_template(field, value)).expect_err(field);
            assert!(why.contains(&format!("{value:?}")), "{field}: {why}");
        }
    }
}

#[test]
fn figures_keep_their_fractions() {
    let extra = load(&fill_template("Bounds.BudgetExtra", "57.35")).expect("good");
    assert_eq!(extra.params.retry_extra, 57_350);
    let window = load(&fill_template("Bounds.BudgetWindowS", "2.5")).expect("good");
    assert_eq!(window.params.retry_window, 2_500);
    let none = load(&fill_template("Bounds.RetryBudgetRatio", "0")).expect("good");
    assert_eq!(
        none.params.retry_ratio, 0,
        "0 must not become the default ratio"
    );
}

#[test]
fn a_figure_that_is_left_empty_is_told_by_check() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("router.ini");
    std::fs::write(&file, fill_template("Bounds.BudgetExtra", "")).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_runrail"))
        .args(["check", "--settings", &file.display().to_string()])
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("[retries] extra: found nothing, 160 retries is used"),
        "{text}"
    );
}

/// Retries that so many routers allow together without any request: the fixed number alone.
fn count_retries(routers: u64, extra: u64) -> u64 {
    let mut count = 0;
    for _ in 0..routers {
        let mut window = RetryWindow::default();
        let params = DirectParams {
            retry_extra: extra,
            ..DirectParams::default()
        };
        let bounds = RetryBounds::new(&params, routers);
        while window.try_retry(1_000, &bounds) {
            count += 1;
        }
    }
    count
}

#[test]
fn however_many_routers_there_are_they_keep_to_the_fixed_number_together() {
    for routers in [1, 5, 16, 52, 400] {
        let count = count_retries(routers, 390_000);
        assert!(count <= 390, "{routers} routers: {count}");
    }
    assert_eq!(
        count_retries(5, 57_350),
        15,
        "each router has its part of 57.35, rounded down to whole retries"
    );
}

/// A deployment that doesn't ask for an optional part of the policy is served as before.
#[test]
fn optional_parts_of_the_policy_are_off_unless_the_settings_name_them() {
    let none = DirectParams::default();
    let contended = EngineSpec {
        slots: 48,
        step_us: 6_000,
        per_request_ns: 240_000,
        ..EngineSpec::default()
    };
    let uncontended = EngineSpec {
        per_request_ns: 45_000,
        ..contended.clone()
    };
    assert!(!none.is_active(Mechanism::Admission, Some(&contended)));
    let features = Features {
        admission: FeatureMode::Auto,
        ..Features::default()
    };
    let auto = DirectParams { features, ..none };
    assert!(auto.is_active(Mechanism::Admission, Some(&contended)));
    assert!(!auto.is_active(Mechanism::Admission, Some(&uncontended)));
    assert!(!auto.is_active(Mechanism::Admission, None));
    assert!(!auto.is_active(Mechanism::Returns, Some(&contended)));
}

/// The extrapolation of demand could act in a deployment that doesn't ask for the part `capacity`,
/// or couldn't be measured without the rest of it.
#[test]
fn the_trend_is_active_only_with_capacity_and_can_be_switched_off_alone() {
    let active = |mode, disabled: &[Mechanism]| {
        let features = Features {
            capacity: mode,
            trend: FeatureMode::On,
            ..Features::default()
        };
        let params = DirectParams {
            features,
            disabled: disabled.iter().copied().collect(),
            ..DirectParams::default()
        };
        [Mechanism::Capacity, Mechanism::Trend].map(|m| params.is_active(m, None))
    };
    assert_eq!(active(FeatureMode::Off, &[]), [false, false]);
    assert_eq!(active(FeatureMode::On, &[]), [true, true]);
    assert_eq!(active(FeatureMode::On, &[Mechanism::Trend]), [true, false]);
    assert_eq!(
        active(FeatureMode::On, &[Mechanism::Capacity]),
        [false, false]
    );
    let capacity_only = DirectParams {
        features: Features {
            capacity: FeatureMode::On,
            ..Features::default()
        },
        ..DirectParams::default()
    };
    assert!(
        !capacity_only.is_active(Mechanism::Trend, None),
        "off by itself"
    );
}

#[test]
fn an_unknown_mode_of_an_optional_part_is_named() {
    let text = fill_template("Bounds.GraceS", "8");
    let start = text.find("admission = ").expect("the mode");
    let end = start + text[start..].find('\n').expect("a line");
    let error = load(&text.replace(&text[start..end], "admission = maybe"));
    let error = error.expect_err("maybe is no mode");
    assert!(
        error.contains("admission") && error.contains("off, auto or on"),
        "{error}"
    );
}
