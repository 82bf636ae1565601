use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{BundleBody, ClassSpec};

/// The part of a bundle that agents need.
///
/// Whole bundles stay at the routers: 2,100 copies of one per change would not
/// fit the network budget of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Brief {
    /// Number of the bundle.
    pub number: u64,
    /// Its classes.
    pub classes: Vec<ClassSpec>,
}

impl Brief {
    /// Takes the agents' part of a bundle.
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
