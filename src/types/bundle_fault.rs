use std::collections::BTreeSet;
use std::fmt;

use super::{BundleBody, ClassSpec, ModelKind, ModelSpec, MAX_INSTANCES, MIN_INSTANCES};

/// Length of a SHA-256 hash in hexadecimal.
const KEY_HEX_DIGITS: usize = 64;

/// One fault of a bundle: where it is, what was found, what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleFault {
    /// Path of the value in the document, such as `models[0].instances`.
    pub place: String,
    /// Value that was found.
    pub found: String,
    /// Description of the values that are allowed.
    pub expected: String,
}

impl BundleFault {
    /// Validates a bundle and returns all its faults; a bundle without faults may be submitted.
    pub fn find_all(body: &BundleBody) -> Vec<BundleFault> {
        let mut faults = Vec::new();
        if body.models.is_empty() {
            faults.push(fault("models", "none", "at least one model"));
        }
        for (i, m) in body.models.iter().enumerate() {
            check_model(&format!("models[{i}]"), m, &mut faults);
        }
        for (i, c) in body.classes.iter().enumerate() {
            check_class(&format!("classes[{i}]"), c, &mut faults);
        }
        check_accounts(body, &mut faults);
        check_unique("models", body.models.iter().map(|m| &*m.name), &mut faults);
        check_unique(
            "classes",
            body.classes.iter().map(|c| &*c.name),
            &mut faults,
        );
        check_unique(
            "accounts",
            body.accounts.iter().map(|a| &*a.name),
            &mut faults,
        );
        faults
    }
}

impl fmt::Display for BundleFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.place, self.found, self.expected
        )
    }
}

fn fault(place: &str, found: impl fmt::Display, expected: impl fmt::Display) -> BundleFault {
    BundleFault {
        place: place.to_string(),
        found: found.to_string(),
        expected: expected.to_string(),
    }
}

fn check_model(place: &str, m: &ModelSpec, faults: &mut Vec<BundleFault>) {
    check_name(&format!("{place}.name"), &m.name, faults);
    let (min, max) = match m.kind {
        ModelKind::Engine => (MIN_INSTANCES, MAX_INSTANCES),
        ModelKind::Service => (1, 1),
    };
    if m.instances < min || m.instances > max {
        let expected = format!("{min} to {max}");
        faults.push(fault(&format!("{place}.instances"), m.instances, expected));
    }
    if m.floor > m.per_hall {
        let expected = format!("at most per_hall, which is {}", m.per_hall);
        faults.push(fault(&format!("{place}.floor"), m.floor, expected));
    }
    if m.version.is_empty() {
        faults.push(fault(&format!("{place}.version"), "nothing", "a version"));
    }
}

fn check_class(place: &str, c: &ClassSpec, faults: &mut Vec<BundleFault>) {
    check_name(&format!("{place}.name"), &c.name, faults);
    if c.deadline_ms == 0 {
        let expected = "at least 1 millisecond";
        faults.push(fault(&format!("{place}.deadline_ms"), 0, expected));
    }
    if c.preempt && !c.repeat {
        let expected = "false where repeat is false";
        faults.push(fault(&format!("{place}.preempt"), true, expected));
    }
}

fn check_accounts(body: &BundleBody, faults: &mut Vec<BundleFault>) {
    for (i, a) in body.accounts.iter().enumerate() {
        let place = format!("accounts[{i}]");
        check_name(&format!("{place}.name"), &a.name, faults);
        let is_hash = a.key_sha256.len() == KEY_HEX_DIGITS
            && a.key_sha256
                .chars()
                .all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        if !is_hash {
            let found = format!("{} characters", a.key_sha256.len());
            let expected = "64 lower-case hexadecimal digits";
            faults.push(fault(&format!("{place}.key_sha256"), found, expected));
        }
        if a.share == 0 {
            faults.push(fault(&format!("{place}.share"), 0, "at least 1"));
        }
        for (j, class) in a.classes.iter().enumerate() {
            if body.class(class).is_none() {
                let place = format!("{place}.classes[{j}]");
                faults.push(fault(
                    &place,
                    format!("{class:?}"),
                    "a class of this bundle",
                ));
            }
        }
    }
}

fn check_name(place: &str, name: &str, faults: &mut Vec<BundleFault>) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        let expected = "1 to 64 letters, digits, '-', '_' or '.'";
        faults.push(fault(place, format!("{name:?}"), expected));
    }
}

fn check_unique<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
    faults: &mut Vec<BundleFault>,
) {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            let place = format!("{list}[{i}].name");
            faults.push(fault(&place, format!("{name:?} again"), "a name used once"));
        }
    }
}
