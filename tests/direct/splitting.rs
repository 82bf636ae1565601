//! Splitting of event streams that arrive in chunks of any size.

use proptest::prelude::*;
use runrail::link::EventSplitter;

proptest! {
    #[test]
    fn events_are_complete_wherever_the_stream_is_cut(
        lines in prop::collection::vec("[a-z ]{0,12}", 1..12),
        cuts in prop::collection::vec(1usize..9, 1..60),
        returns in any::<bool>(),
    ) {
        let end = if returns { "\r\n" } else { "\n" };
        let events: Vec<String> = lines
            .iter()
            .enumerate()
            .map(|(n, line)| format!("id: {n}{end}data: {line}{end}{end}"))
            .collect();
        let whole = events.concat() + "id: 99\ndata: torn";
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let (mut at, mut cuts) = (0, cuts.into_iter().cycle());
        while at < whole.len() {
            let next = (at + cuts.next().unwrap_or(1)).min(whole.len());
            prop_assert!(splitter.push(&whole.as_bytes()[at..next]));
            at = next;
            while let Some(event) = splitter.next_event() {
                out.push((event.id, String::from_utf8_lossy(&event.bytes).to_string()));
            }
        }
        let wanted: Vec<_> = events.iter().enumerate().map(|(n, e)| (Some(n as u64), e.clone())).collect();
        prop_assert_eq!(out, wanted);
        prop_assert!(splitter.has_partial());
    }
}
