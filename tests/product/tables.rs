//! Tables and bars for a terminal, and the bound on the number of histograms.

use runrail::cli::{metrics_bars, metrics_table, status_table};
use runrail::logic::router::{FleetStatus, GroupStatus, Metric};
use runrail::observe::{HistogramRow, Histograms};

fn row(account: &str, class: &str, quantiles: [u64; 3]) -> HistogramRow {
    HistogramRow {
        metric: "first_piece_ms".into(),
        account: account.into(),
        class: class.into(),
        count: 120,
        p50: quantiles[0],
        p95: quantiles[1],
        p99: quantiles[2],
    }
}

#[test]
fn metrics_are_shown_as_a_table_and_as_bars() {
    let rows = [
        row("desk", "urgent", [40, 90, 160]),
        row("branch", "drafting", [400, 900, 1_600]),
    ];
    insta::assert_snapshot!(format!("{}\n{}", metrics_table(&rows), metrics_bars(&rows)));
}

#[test]
fn histograms_are_bounded_in_number() {
    let mut histograms = Histograms::default();
    for i in 0..1_000 {
        let account = std::sync::Arc::from(format!("account-{i}"));
        histograms.record(Metric::Total, &account, &"urgent".into(), 5);
    }
    let rows = histograms.rows();
    assert!(rows.len() <= 257, "{} rows", rows.len());
    assert!(rows.iter().any(|r| r.account == "other" && r.count > 700));
}

#[test]
fn the_fleet_is_shown_as_a_table() {
    let status = FleetStatus {
        router: "brno1-e1".into(),
        hall: "brno1".into(),
        bundle: 7,
        proven: true,
        store_up: false,
        planner: true,
        requests: 3,
        groups: vec![GroupStatus {
            id: "brno1-r1/1".into(),
            epoch: 12,
            model: "desk".into(),
            version: "2".into(),
            members: vec!["i1".into(), "i2".into()],
            state: "lacks i2".into(),
            running: 2,
            waiting: 1,
            slots: 8,
        }],
        spares: vec!["i9".into()],
    };
    insta::assert_snapshot!(status_table(&status));
}
