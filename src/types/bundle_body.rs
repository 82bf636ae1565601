use serde::{Deserialize, Serialize};

use super::{AccountSpec, ClassSpec, Measure, ModelSpec};

/// Content of a bundle as operators write it: models, classes, client accounts and
/// repair weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleBody {
    /// Human-readable title.
    pub title: String,
    /// Models and plain services.
    pub models: Vec<ModelSpec>,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Client accounts.
    pub accounts: Vec<AccountSpec>,
    /// Costs of group downtime and of unused instances, weighed when a group is repaired.
    #[serde(default)]
    pub measure: Measure,
}

impl BundleBody {
    /// Finds a model or service by name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|m| &*m.name == name)
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|c| &*c.name == name)
    }

    /// Finds the account that owns a key, given the key's hash.
    pub fn account_by_key(&self, key_sha256: &str) -> Option<&AccountSpec> {
        self.accounts.iter().find(|a| &*a.key_sha256 == key_sha256)
    }
}
