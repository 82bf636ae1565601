use std::str::FromStr;

/// When an optional part of the policy takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum FeatureMode {
    /// Never.
    #[default]
    Off,
    /// For services whose published engine makes concurrent requests slow each other down, see
    /// [`EngineSpec::is_contended`](crate::types::EngineSpec::is_contended).
    Auto,
    /// For all services.
    On,
}

impl FromStr for FeatureMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "off" => Ok(FeatureMode::Off),
            "auto" => Ok(FeatureMode::Auto),
            "on" => Ok(FeatureMode::On),
            other => Err(format!("found {other:?}, expected off, auto or on")),
        }
    }
}
