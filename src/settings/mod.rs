//! Settings files in INI: read once at the start, every value checked, all faults reported
//! together.

mod agent_settings;
mod direct_settings;
mod ini_reader;
mod intake_settings;
mod router_settings;
mod settings_error;
mod settings_fault;

pub use agent_settings::AgentSettings;
pub use direct_settings::DirectSettings;
pub use intake_settings::IntakeSettings;
pub use router_settings::RouterSettings;
pub use settings_error::SettingsError;
pub use settings_fault::SettingsFault;
