//! Endpoints that say in their answers that they are leaving.

use std::time::Duration;

use testkit::direct::{fleet, Caller};
use testkit::soak::sent_to_leaving;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Guards against an announcement in an answer that is not read, so that an endpoint which the list
/// still shows as ready goes on getting requests until it has stopped.
#[test]
fn processes_send_nothing_to_an_endpoint_that_announced_its_leaving() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(3, dir.path());
    standin.world().leave("p0");
    let mut caller = Caller::new();
    let answers = caller.send_for(Duration::from_secs(4), PAUSE, &routers, "/safe/x");
    let received = caller.received(&standin, "p0");
    assert!(!received.is_empty(), "nobody was told");
    assert_eq!(sent_to_leaving(&received, &[]), Vec::<String>::new());
    let served = answers.iter().flatten().filter(|a| a.status == 200).count();
    assert_eq!(served, answers.len(), "the other endpoint serves all");
}
