use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{DirectState, EndpointView};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis, SeatState, StorePosition};

/// Format of a snapshot, which changes with the fields that a reader needs. One of another format is
/// refused.
const FORMAT: u32 = 1;

/// The endpoint list as one router knows it, for another one that needs it.
///
/// Names that many endpoints share are sent once: 750 endpoints take 72 KB.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListSnapshot {
    format: u32,
    /// Position of the store up to which every change that affects where requests go is known.
    pub at: StorePosition,
    /// Time since the list was known to be current, in milliseconds.
    pub age: Millis,
    /// Names that the rows refer to by their index.
    names: Vec<Arc<str>>,
    rows: Vec<Row>,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Row {
    #[serde(rename = "i")]
    id: InstanceId,
    #[serde(rename = "a")]
    addr: SocketAddr,
    #[serde(rename = "v")]
    service: usize,
    #[serde(rename = "h")]
    hall: usize,
    #[serde(rename = "d")]
    domain: usize,
    #[serde(rename = "n")]
    slots: u32,
    #[serde(rename = "l")]
    leaving: bool,
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    announced: bool,
    #[serde(rename = "b")]
    born: Option<u64>,
    #[serde(rename = "c")]
    cold_ms: u64,
    #[serde(rename = "t")]
    beats: u64,
    #[serde(rename = "s")]
    staged: Vec<usize>,
    #[serde(rename = "m")]
    model: Option<usize>,
    #[serde(rename = "g")]
    seat: Option<Seat>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Seat {
    #[serde(rename = "g")]
    group: usize,
    #[serde(rename = "e")]
    epoch: u64,
    #[serde(rename = "r")]
    rank: usize,
    #[serde(rename = "s")]
    state: SeatState,
}

/// Names with their indices.
#[derive(Default)]
struct NameTable {
    names: Vec<Arc<str>>,
    indices: BTreeMap<Arc<str>, usize>,
}

impl NameTable {
    fn index(&mut self, name: &Arc<str>) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }
}

impl ListSnapshot {
    /// The list of a router, which was known to be current `age` milliseconds ago.
    pub(super) fn of(state: &DirectState, now: Millis, age: Millis) -> Self {
        let mut table = NameTable::default();
        let listed = state.endpoints.iter().filter(|(_, view)| view.listed);
        let rows = listed.map(|(id, view)| Row::of(id, view, now, &mut table));
        Self {
            format: FORMAT,
            at: state.digests.known_upto,
            age,
            rows: rows.collect(),
            names: table.names,
        }
    }

    /// The entries of the endpoints.
    ///
    /// # Errors
    /// Returns what was found and expected if the format is another one, or a row refers to a name
    /// that the snapshot lacks or has a value out of range.
    pub fn entries(&self) -> Result<Vec<(InstanceId, EndpointEntry)>, String> {
        if self.format != FORMAT {
            return Err(format!("format: found {}, expected {FORMAT}", self.format));
        }
        self.rows.iter().map(|row| row.entry(&self.names)).collect()
    }

    /// The endpoints that have announced that they are leaving, which the list needn't show.
    pub(super) fn announced(&self) -> impl Iterator<Item = &InstanceId> {
        let rows = self.rows.iter().filter(|row| row.announced);
        rows.map(|row| &row.id)
    }
}

impl Row {
    fn of(id: &InstanceId, view: &EndpointView, now: Millis, table: &mut NameTable) -> Self {
        let entry = &view.entry;
        let seat = entry.seat.as_ref().map(|seat| Seat {
            group: table.index(&seat.group),
            epoch: seat.epoch,
            rank: seat.rank,
            state: seat.state,
        });
        let cold = view.cold.as_ref();
        let is_formers = view.named_before.as_ref().is_some_and(|n| n.leaving);
        Self {
            id: id.clone(),
            addr: entry.addr,
            service: table.index(&entry.service),
            hall: table.index(&entry.hall),
            domain: table.index(&entry.domain),
            slots: entry.slots,
            leaving: view.is_leaving(),
            announced: view.leaving && !is_formers,
            born: entry.born,
            cold_ms: cold.map_or(0, |c| c.until.saturating_sub(now)),
            beats: entry.beats,
            staged: entry.staged.iter().map(|m| table.index(m)).collect(),
            model: entry.model.as_ref().map(|m| table.index(m)),
            seat,
        }
    }

    fn entry(&self, names: &[Arc<str>]) -> Result<(InstanceId, EndpointEntry), String> {
        let name = |index: usize| {
            names.get(index).cloned().ok_or_else(|| {
                let count = names.len();
                format!("{}: found name {index}, expected one of {count}", self.id)
            })
        };
        let seat = self.seat.as_ref().map(|seat| {
            Ok::<_, String>(GroupSeat {
                group: name(seat.group)?,
                epoch: seat.epoch,
                rank: seat.rank,
                state: seat.state,
            })
        });
        let entry = EndpointEntry {
            service: name(self.service)?,
            addr: self.addr,
            hall: name(self.hall)?,
            slots: self.slots,
            leaving: self.leaving,
            born: self.born,
            cold_ms: self.cold_ms,
            beats: self.beats,
            domain: name(self.domain)?,
            staged: self
                .staged
                .iter()
                .map(|m| name(*m))
                .collect::<Result<_, _>>()?,
            model: self.model.map(name).transpose()?,
            seat: seat.transpose()?,
        };
        entry.check().map_err(|why| format!("{}: {why}", self.id))?;
        Ok((self.id.clone(), entry))
    }
}
