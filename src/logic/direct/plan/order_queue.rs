use std::collections::VecDeque;

use super::OrderUse;
use crate::logic::direct::GroupStep;
use crate::types::InstanceId;

/// An order that waits to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueuedOrder {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// What the endpoint has to do.
    pub what: GroupStep,
    /// Fence of the planner lease that it was decided under.
    pub lease: u64,
    /// Its purpose.
    pub purpose: OrderUse,
}

/// Orders that wait to be sent; those to load models come after all others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderQueue {
    groups: VecDeque<QueuedOrder>,
    loads: VecDeque<QueuedOrder>,
}

impl OrderQueue {
    /// Adds an order, unless the same one waits already.
    pub fn push(&mut self, order: QueuedOrder) {
        let queue = match order.purpose {
            OrderUse::Stage(_) => &mut self.loads,
            _ => &mut self.groups,
        };
        if !queue.contains(&order) {
            queue.push_back(order);
        }
    }

    /// Takes up to `limit` of the orders that `is_due` selects, in their order, and drops those of the
    /// selected that are obsolete; the others keep their places. Looks at no more orders than it has to,
    /// as thousands may wait.
    pub fn take(
        &mut self,
        limit: usize,
        mut is_due: impl FnMut(&QueuedOrder) -> bool,
        mut is_obsolete: impl FnMut(&QueuedOrder) -> bool,
    ) -> Vec<QueuedOrder> {
        let mut taken = Vec::new();
        for queue in [&mut self.groups, &mut self.loads] {
            let mut kept = Vec::new();
            while taken.len() < limit {
                match queue.pop_front() {
                    Some(order) if !is_due(&order) => kept.push(order),
                    Some(order) if !is_obsolete(&order) => taken.push(order),
                    Some(_) => {}
                    None => break,
                }
            }
            for order in kept.into_iter().rev() {
                queue.push_front(order);
            }
        }
        taken
    }

    /// The orders, in the order in which they are taken.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedOrder> {
        self.groups.iter().chain(&self.loads)
    }

    /// Number of orders.
    pub fn len(&self) -> usize {
        self.groups.len() + self.loads.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops all orders.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
