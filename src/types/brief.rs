use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{BundleBody, ClassSpec};

/// The part of a bundle that agents need.
///
/// Only routers hold whole bundles: sending 2,100 copies of a bundle at each change
/// would exceed the network budget of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Brief {
    /// Number of the bundle.
    pub number: u64,
    /// Classes of the bundle.
    pub classes: Vec<ClassSpec>,
}

impl Brief {
    /// Extracts the part that agents need from a bundle.
    pub fn of(number: u64, body: &BundleBody) -> Self {
        Self {
            number,
            classes: body.classes.clone(),
        }
    }

    /// Finds a class by name.
    pub fn class(&self, name: &Arc<str>) -> Option<&ClassSpec> {
        self.classes.iter().find(|c| &c.name == name)
    }
}
