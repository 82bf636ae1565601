//! Reads an INI file key by key, collects all faults, and reports unknown keys as faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;

use ini::Ini;

use super::{SettingsError, SettingsFault};
use crate::types::MissingValue;

/// Upper bound of a scaled number: 30 years in milliseconds, so that sums of a few such
/// numbers can't overflow.
const MAX_SCALED: f64 = 1e12;

/// Minimum length of the fleet's key.
const MIN_KEY_BYTES: usize = 32;

pub(super) struct IniReader {
    file: String,
    text: String,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<SettingsFault>,
    missing: Vec<MissingValue>,
}

impl IniReader {
    /// Reads a file.
    ///
    /// # Errors
    /// Returns a single fault where the file can't be read or isn't valid INI.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let file_error = |line, found: String, expected: &str| SettingsError {
            file: file.clone(),
            faults: vec![SettingsFault {
                line,
                place: "the file".to_string(),
                found,
                expected: expected.to_string(),
            }],
        };
        let text = std::fs::read_to_string(path)
            .map_err(|e| file_error(None, e.to_string(), "a readable file"))?;
        let ini = Ini::load_from_str(&text)
            .map_err(|e| file_error(Some(e.line + 1), e.msg.to_string(), "valid INI"))?;
        Ok(Self {
            file,
            text,
            ini,
            used: BTreeSet::new(),
            faults: Vec::new(),
            missing: Vec::new(),
        })
    }

    fn read_value(&mut self, section: &str, key: &str) -> Option<String> {
        self.used.insert((section.to_string(), key.to_string()));
        self.ini.get_from(Some(section), key).map(str::to_string)
    }

    /// Records a fault of a key.
    pub fn add_fault(
        &mut self,
        section: &str,
        key: &str,
        found: impl Display,
        expected: impl Display,
    ) {
        let fault = SettingsFault {
            line: self.line_of(section, key),
            place: format!("[{section}] {key}"),
            found: found.to_string(),
            expected: expected.to_string(),
        };
        self.faults.push(fault);
    }

    /// Line of a key, found by a search of the text, as the parser doesn't keep it.
    fn line_of(&self, section: &str, key: &str) -> Option<usize> {
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

    /// Reads a string that must be present and not empty.
    pub fn required(&mut self, section: &str, key: &str, expected: &str) -> String {
        match self.read_value(section, key) {
            Some(text) if !text.is_empty() => text,
            _ => {
                self.add_fault(section, key, "nothing", expected);
                String::new()
            }
        }
    }

    /// Reads a number within a range; the default where the key is absent. `unit` is for the
    /// error.
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
        let Some(text) = self.read_value(section, key) else {
            return default;
        };
        match text.parse::<T>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let expected = format!("{} to {} {unit}", range.start(), range.end());
                self.add_fault(section, key, format!("{text:?}"), expected);
                default
            }
        }
    }

    /// The same; none where the key is absent.
    pub fn optional_number<T>(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<T>,
        unit: &str,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        self.read_value(section, key)?;
        let least = *range.start();
        Some(self.number(section, key, least, range, unit))
    }

    /// Reads a number of at least 0 that may have a fraction, in units of `1 / scale`, rounded
    /// down; the default where the key is absent. For an empty value the default is used and
    /// recorded as a missing value, as the file was meant to give one.
    pub fn scaled_number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        scale: u32,
        unit: &str,
    ) -> u64 {
        let Some(text) = self.read_value(section, key) else {
            return default;
        };
        if text.trim().is_empty() {
            self.missing.push(MissingValue {
                place: format!("[{section}] {key}"),
                found: "nothing".to_string(),
                used: format!("{} {unit}", default as f64 / f64::from(scale)),
            });
            return default;
        }
        match text.trim().parse::<f64>() {
            // Larger numbers mean that there is no bound; they are capped.
            Ok(number) if number >= 0.0 => (number * f64::from(scale)).min(MAX_SCALED) as u64,
            _ => {
                let expected = format!("a number of {unit}, 0 or more");
                self.add_fault(section, key, format!("{text:?}"), expected);
                default
            }
        }
    }

    /// The missing values so far, with the defaults that are used in their place.
    pub fn missing_values(&self) -> &[MissingValue] {
        &self.missing
    }

    /// Reads a value of any type that can be parsed; the default where the key is absent.
    pub fn parsed<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        expected: &str,
    ) -> T {
        let Some(text) = self.read_value(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(value) => value,
            Err(_) => {
                self.add_fault(section, key, format!("{text:?}"), expected);
                default
            }
        }
    }

    /// Reads a value of any type that can be parsed; none where the key is absent.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let text = self.read_value(section, key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.add_fault(section, key, format!("{text:?}"), expected);
                None
            }
        }
    }

    /// Reads values separated by commas. The key must be present and not empty.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let text = self.required(section, key, expected);
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.add_fault(section, key, format!("{part:?}"), expected),
            }
        }
        values
    }

    /// All keys and values of a section that may have any keys.
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

    /// Reads the fleet's key from the file that `[fleet] key_file` names.
    pub fn fleet_key(&mut self) -> Arc<[u8]> {
        let expected = "a file with at least 32 bytes, the same on every instance";
        let path = self.required("fleet", "key_file", expected);
        if path.is_empty() {
            return Arc::from([]);
        }
        match std::fs::read(&path) {
            Ok(bytes) if bytes.trim_ascii().len() >= MIN_KEY_BYTES => Arc::from(bytes.trim_ascii()),
            Ok(bytes) => {
                let found = format!("{path:?} with {} bytes", bytes.trim_ascii().len());
                self.add_fault("fleet", "key_file", found, expected);
                Arc::from([])
            }
            Err(e) => {
                self.add_fault("fleet", "key_file", format!("{path:?} ({e})"), expected);
                Arc::from([])
            }
        }
    }

    /// Adds a fault for each key that was not read.
    ///
    /// # Errors
    /// Returns all faults, where there are any.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                let pair = (section.to_string(), key.to_string());
                if !self.used.contains(&pair) {
                    unknown.push(pair);
                }
            }
        }
        for (section, key) in unknown {
            let known = self.known_keys(&section);
            self.add_fault(&section, &key, "an unknown key", known);
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
            return format!("one of the sections {}", names.join(", "));
        }
        format!("one of {}", keys.join(", "))
    }
}
