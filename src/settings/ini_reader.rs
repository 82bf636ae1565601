//! Reads an INI file key by key, notes faults, and finds keys that nobody read.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;

use ini::Ini;

use super::{SettingsError, SettingsFault};
use crate::types::FigureGap;

/// Largest figure that is kept, in its unit: 30 years in milliseconds, so that sums of
/// a few of them can't overflow.
const MOST: f64 = 1e12;

/// Fewest bytes of the fleet's key.
const KEY_BYTES: usize = 32;

pub(super) struct IniReader {
    file: String,
    text: String,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<SettingsFault>,
    gaps: Vec<FigureGap>,
}

impl IniReader {
    /// Reads a file; a file that can't be read or parsed is its only fault.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let whole = |line, found: String, expected: &str| SettingsError {
            file: file.clone(),
            faults: vec![SettingsFault {
                line,
                place: "the file".to_string(),
                found,
                expected: expected.to_string(),
            }],
        };
        let text = std::fs::read_to_string(path)
            .map_err(|e| whole(None, e.to_string(), "a readable file"))?;
        let ini = Ini::load_from_str(&text)
            .map_err(|e| whole(Some(e.line + 1), e.msg.to_string(), "INI"))?;
        Ok(Self {
            file,
            text,
            ini,
            used: BTreeSet::new(),
            faults: Vec::new(),
            gaps: Vec::new(),
        })
    }

    fn value(&mut self, section: &str, key: &str) -> Option<String> {
        self.used.insert((section.to_string(), key.to_string()));
        self.ini.get_from(Some(section), key).map(str::to_string)
    }

    /// Notes a fault of a key.
    pub fn fault(&mut self, section: &str, key: &str, found: impl Display, expected: impl Display) {
        let fault = SettingsFault {
            line: self.line(section, key),
            place: format!("[{section}] {key}"),
            found: found.to_string(),
            expected: expected.to_string(),
        };
        self.faults.push(fault);
    }

    /// Line of a key; the parser doesn't keep it.
    fn line(&self, section: &str, key: &str) -> Option<usize> {
        let mut inside = false;
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                inside = line == format!("[{section}]");
            } else if inside && line.split('=').next().map(str::trim) == Some(key) {
                return Some(i + 1);
            }
        }
        None
    }

    /// A text that must be present.
    pub fn text(&mut self, section: &str, key: &str, expected: &str) -> String {
        match self.value(section, key) {
            Some(text) if !text.is_empty() => text,
            _ => {
                self.fault(section, key, "nothing", expected);
                String::new()
            }
        }
    }

    /// A number within a range, with its unit, or the default.
    pub fn number<T>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        range: RangeInclusive<T>,
        unit: &str,
    ) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let Some(text) = self.value(section, key) else {
            return default;
        };
        match text.parse::<T>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let expected = format!("{} to {} {unit}", range.start(), range.end());
                self.fault(section, key, format!("{text:?}"), expected);
                default
            }
        }
    }

    /// A figure that may be a fraction: in units of `1 / scale`, rounded down, or the
    /// default. That the default stands in for an empty value is noted, as whoever filled
    /// the file in meant to tell one.
    pub fn figure(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        scale: u32,
        unit: &str,
    ) -> u64 {
        let Some(text) = self.value(section, key) else {
            return default;
        };
        if text.trim().is_empty() {
            self.gaps.push(FigureGap {
                place: format!("[{section}] {key}"),
                found: "nothing".to_string(),
                used: format!("{} {unit}", default as f64 / f64::from(scale)),
            });
            return default;
        }
        match text.trim().parse::<f64>() {
            // A figure beyond what can be counted means no bound; the cast saturates.
            Ok(figure) if figure >= 0.0 => (figure * f64::from(scale)).min(MOST) as u64,
            _ => {
                let expected = format!("a number of {unit}, 0 or more");
                self.fault(section, key, format!("{text:?}"), expected);
                default
            }
        }
    }

    /// What stood in for figures without a value so far.
    pub fn gaps(&self) -> &[FigureGap] {
        &self.gaps
    }

    /// A value of another form, or the default.
    pub fn parsed<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        expected: &str,
    ) -> T {
        let Some(text) = self.value(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(value) => value,
            Err(_) => {
                self.fault(section, key, format!("{text:?}"), expected);
                default
            }
        }
    }

    /// A value of another form that may be absent.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let text = self.value(section, key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.fault(section, key, format!("{text:?}"), expected);
                None
            }
        }
    }

    /// Values separated by commas; at least one.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let text = self.text(section, key, expected);
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.fault(section, key, format!("{part:?}"), expected),
            }
        }
        values
    }

    /// All keys of a section whose keys are free.
    pub fn entries(&mut self, section: &str) -> Vec<(String, String)> {
        let Some(properties) = self.ini.section(Some(section)) else {
            return Vec::new();
        };
        let found: Vec<_> = properties
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        for (key, _) in &found {
            self.used.insert((section.to_string(), key.clone()));
        }
        found
    }

    /// The fleet's key, from the file that `[fleet] key_file` names.
    pub fn fleet_key(&mut self) -> Arc<[u8]> {
        let expected = "a file with at least 32 bytes, the same on every instance";
        let path = self.text("fleet", "key_file", expected);
        if path.is_empty() {
            return Arc::from([]);
        }
        match std::fs::read(&path) {
            Ok(bytes) if bytes.trim_ascii().len() >= KEY_BYTES => Arc::from(bytes.trim_ascii()),
            Ok(bytes) => {
                let found = format!("{path:?} with {} bytes", bytes.trim_ascii().len());
                self.fault("fleet", "key_file", found, expected);
                Arc::from([])
            }
            Err(e) => {
                self.fault("fleet", "key_file", format!("{path:?} ({e})"), expected);
                Arc::from([])
            }
        }
    }

    /// Ends the reading: unknown keys are faults too.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                let place = (section.to_string(), key.to_string());
                if !self.used.contains(&place) {
                    unknown.push(place);
                }
            }
        }
        for (section, key) in unknown {
            let known = self.known_keys(&section);
            self.fault(&section, &key, "an unknown key", known);
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|f| f.line.unwrap_or(usize::MAX));
        Err(SettingsError {
            file: self.file,
            faults: self.faults,
        })
    }

    fn known_keys(&self, section: &str) -> String {
        let keys: Vec<_> = self
            .used
            .iter()
            .filter(|(s, _)| s == section)
            .map(|(_, k)| k.as_str())
            .collect();
        if keys.is_empty() {
            let sections: BTreeSet<_> = self.used.iter().map(|(s, _)| s.as_str()).collect();
            let names: Vec<_> = sections.into_iter().map(|s| format!("[{s}]")).collect();
            return format!("a section out of {}", names.join(", "));
        }
        format!("one of {}", keys.join(", "))
    }
}
