//! Prints the encoded sizes of records and messages.

use std::sync::Arc;

use runrail::message::{
    ClaimKey, ClaimRecord, ClassLoad, HeadReply, LeadReport, LeaseAsk, LoadReport, Message, Report,
    RunId, RunOrder,
};
use runrail::types::{Brief, GroupId, InstanceId, Phase, RequestId};
use runrail::wire::encode;

use crate::fixture::{addr, bundle, domains, group};

pub fn run() {
    println!("| record or message | bytes |\n|---|---|");
    let print_row = |name: &str, size: usize| println!("| {name} | {size} |");
    let json_bytes = |text: &dyn Fn() -> String| text().len();
    for size in [4, 8, 16, 32] {
        let record = group("hall01-rack001", 7, size);
        let text = || serde_json::to_string(&record).expect("a record can be serialized");
        print_row(
            &format!("group of {size} in its domain's record, JSON"),
            json_bytes(&text),
        );
    }
    for record in domains(8).iter().take(1) {
        let text = || serde_json::to_string(record).expect("a record can be serialized");
        print_row("domain record with 8 groups of 4, JSON", json_bytes(&text));
    }
    for (models, accounts) in [(10, 10), (50, 100), (50, 1_000)] {
        let bundle = bundle(models, accounts, 10);
        let text = || serde_json::to_string(&bundle).expect("a bundle can be serialized");
        print_row(
            &format!("bundle, {models} models, {accounts} accounts, JSON"),
            json_bytes(&text),
        );
        let brief = Message::Brief(Brief::of(1, &bundle.body));
        print_row(
            &format!("agents' part of that bundle, CBOR ({accounts} accounts)"),
            encoded_bytes(&brief),
        );
    }
    print_row("lease request, CBOR", encoded_bytes(&lease_ask()));
    print_row("lease grant, CBOR", encoded_bytes(&lease_grant()));
    print_row("report of a leader, CBOR", encoded_bytes(&report()));
    print_row(
        "HeadAsk, CBOR",
        encoded_bytes(&Message::HeadAsk {
            asked_at: 1 << 30,
            number: 500,
        }),
    );
    print_row("HeadReply, CBOR", encoded_bytes(&head_reply()));
    print_row(
        "run order with an empty body, CBOR",
        encoded_bytes(&run_order()),
    );
    print_row(
        "piece of 5 characters, CBOR",
        encoded_bytes(&Message::Piece {
            run: run_id(),
            offset: 100,
            text: "token".into(),
        }),
    );
    let claim = || serde_json::to_string(&claim()).expect("a claim can be serialized");
    print_row("claim, JSON", json_bytes(&claim));
}

/// Returns the size of a message in CBOR.
pub fn encoded_bytes(message: &Message) -> usize {
    encode(message).expect("a message can be encoded").len()
}

pub fn run_id() -> RunId {
    RunId {
        request: RequestId {
            node: u64::MAX / 3,
            number: 100_000,
        },
        attempt: 1,
    }
}

pub fn lease_ask() -> Message {
    Message::LeaseAsk(Box::new(LeaseAsk {
        group: GroupId::new("hall01-rack001", 7),
        epoch: 1_000,
        round: 100_000,
        lease_ms: 3_000,
        rank: 3,
        size: 32,
        model: Arc::from("desk-70b"),
        version: Arc::from("2026-11"),
        kind: Default::default(),
        role: Default::default(),
        adapters: Vec::new(),
    }))
}

pub fn lease_grant() -> Message {
    Message::LeaseGrant {
        holder: u64::MAX / 3,
        epoch: 1_000,
        round: 100_000,
        ready: true,
        failed: false,
        leaving: false,
        bundle: 500,
    }
}

pub fn load_report() -> Message {
    let Message::Report(report) = report() else {
        unreachable!("report() builds Message::Report");
    };
    let lead = report.lead.expect("report() has a leader's part");
    Message::Load(LoadReport {
        epoch: lead.epoch,
        running: lead.running,
        loads: lead.loads,
    })
}

pub fn report() -> Message {
    let load = |priority| ClassLoad {
        priority,
        queued: 3,
        wait_ms: 100,
        mean_ms: 1_000,
    };
    Message::Report(Box::new(Report {
        bundle: 500,
        grant: Some((GroupId::new("hall01-rack001", 7), 1_000)),
        lead: Some(LeadReport {
            group: GroupId::new("hall01-rack001", 7),
            epoch: 1_000,
            open: true,
            phase: Phase::Serving,
            missing: Vec::new(),
            leaving: Vec::new(),
            failed: Vec::new(),
            ready: true,
            slots: 64,
            running: 40,
            loads: vec![load(0), load(5), load(7)],
        }),
        leaving: false,
    }))
}

fn head_reply() -> Message {
    Message::HeadReply(HeadReply {
        asked_at: 1 << 30,
        number: 500,
        age_ms: Some(2_000),
        settled: true,
        bundle: None,
    })
}

fn run_order() -> Message {
    Message::Run(Box::new(RunOrder {
        run: run_id(),
        group: GroupId::new("hall01-rack001", 7),
        epoch: 1_000,
        incarnation: u64::MAX / 3,
        bundle: 500,
        class: Arc::from("drafting"),
        account: Arc::from("account-17"),
        share: 1,
        left_ms: 60_000,
        once: None,
        path: Arc::from("/v1/chat/completions"),
        body: Arc::from(""),
        offset: 0,
        prefix: String::new(),
    }))
}

fn claim() -> ClaimRecord {
    ClaimRecord {
        attempt: 1,
        agent: InstanceId::new("hall01-rack001-g7-i00"),
        addr: addr(),
        incarnation: u64::MAX / 3,
        content: ClaimKey::new("a", "b"),
        by: run_id().request,
        released: false,
    }
}
