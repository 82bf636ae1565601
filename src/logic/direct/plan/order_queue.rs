use std::collections::VecDeque;

use super::OrderUse;
use crate::logic::direct::GroupOrder;
use crate::types::InstanceId;

/// An order that waits to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueuedOrder {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// The order, with the fence that it was decided under.
    pub body: GroupOrder,
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

    /// Takes the next order.
    pub fn pop(&mut self) -> Option<QueuedOrder> {
        self.groups.pop_front().or_else(|| self.loads.pop_front())
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
