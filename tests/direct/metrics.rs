//! The metrics page, in the text format that a scraper reads.

use std::sync::Arc;

use runrail::logic::router::Metric;
use runrail::observe::{exposition, LabelledCount, Metrics};

#[test]
fn metrics_are_labelled_by_account_and_class() {
    let mut metrics = Metrics::new(None).expect("metrics without a destination");
    let account: Arc<str> = "ann".into();
    let class: Arc<str> = "/stream/".into();
    for ms in [20, 30, 400] {
        metrics.record(Metric::Total, &account, &class, ms);
    }
    metrics.record(Metric::NotRun, &account, &class, 2);
    let count = |outcome, count| LabelledCount {
        name: "store_calls",
        labels: [("use", "watch_list"), ("outcome", outcome)],
        count,
    };
    let counts = [count("answered", 7), count("turned_away", 1)];
    insta::assert_snapshot!(exposition(&metrics.rows(), &[("groups_open", 3)], &counts), @r#"
    # TYPE runrail_total_ms summary
    runrail_total_ms{account="ann",class="/stream/",quantile="0.5"} 30
    runrail_total_ms{account="ann",class="/stream/",quantile="0.95"} 401
    runrail_total_ms{account="ann",class="/stream/",quantile="0.99"} 401
    runrail_total_ms_count{account="ann",class="/stream/"} 3
    # TYPE runrail_not_run_total counter
    runrail_not_run_total{account="ann",class="/stream/"} 2
    # TYPE runrail_groups_open gauge
    runrail_groups_open 3
    # TYPE runrail_store_calls_total counter
    runrail_store_calls_total{use="watch_list",outcome="answered"} 7
    runrail_store_calls_total{use="watch_list",outcome="turned_away"} 1
    "#);
}
