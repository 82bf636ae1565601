//! Hold-offs: an endpoint that turns a request away asks the router to send it nothing for a time.

use std::time::Duration;

use testkit::direct::{fleet, Caller};
use testkit::soak::broken_hold_offs;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Guards against a request for a hold-off that is not read, so that the endpoint goes on getting
/// requests that it turns away.
#[test]
fn processes_send_nothing_to_an_endpoint_that_holds_off() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(3, dir.path());
    // Retries have a budget from the first second on.
    std::thread::sleep(Duration::from_secs(1));
    let time = Duration::from_secs(2);
    standin.world().hold_off("p0", Some(time));
    let mut caller = Caller::new();
    let answers = caller.send_for(Duration::from_secs(5), PAUSE, &routers, "/safe/x");
    let received = caller.received(&standin, "p0");
    assert_eq!(broken_hold_offs(&received, &[]), Vec::<String>::new());
    let served = answers.iter().flatten().filter(|a| a.status == 200).count();
    assert_eq!(served, answers.len(), "the other endpoint serves all");
    standin.world().hold_off("p0", None);
    let before = caller.received(&standin, "p0").len();
    caller.send_for(Duration::from_secs(5), PAUSE, &routers, "/safe/x");
    let after = caller.received(&standin, "p0").len() - before;
    assert!(after > 20, "it serves again: {after}");
}
