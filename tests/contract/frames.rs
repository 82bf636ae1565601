//! Encoding of frames: round trips, invalid bytes, unknown fields, length and depth.

use proptest::prelude::*;
use runrail::message::{Message, RunId};
use runrail::types::{Brief, RequestId};
use runrail::wire::{decode, encode, CodecError, MAX_FRAME_BYTES};
use serde::Serialize;

#[test]
fn a_message_is_unchanged_by_encoding_and_decoding() {
    let message = Message::Piece {
        run: RunId {
            request: RequestId { node: 7, number: 1 },
            attempt: 2,
        },
        offset: 3,
        text: "žluťoučký".into(),
    };
    let bytes = encode(&message).expect("encoded");
    assert_eq!(decode::<Message>(&bytes).expect("decoded"), message);
}

#[test]
fn cut_off_frames_are_errors() {
    let bytes = encode(&Message::Brief(Brief::default())).expect("encoded");
    for end in 0..bytes.len() {
        assert!(
            decode::<Message>(&bytes[..end]).is_err(),
            "{end} bytes were enough"
        );
    }
}

#[test]
fn fields_of_a_later_version_are_ignored() {
    #[derive(Serialize)]
    struct Later {
        number: u64,
        classes: Vec<String>,
        colour: &'static str,
    }
    let bytes = encode(&Later {
        number: 4,
        classes: Vec::new(),
        colour: "red",
    })
    .expect("encoded");
    assert_eq!(decode::<Brief>(&bytes).expect("decoded").number, 4);
}

#[test]
fn long_and_deep_frames_are_refused() {
    let long = vec![0; MAX_FRAME_BYTES + 1];
    assert_eq!(
        decode::<Message>(&long),
        Err(CodecError::TooLong(MAX_FRAME_BYTES + 1))
    );
    assert!(encode(&"x".repeat(MAX_FRAME_BYTES)).is_err());
    let deep = vec![0x81; 100_000];
    assert!(matches!(
        decode::<Message>(&deep),
        Err(CodecError::Malformed(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_break_the_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<Message>(&bytes);
    }

    #[test]
    fn no_flipped_bit_breaks_the_decoder(at in 0_usize..60, bit in 0_u8..8) {
        let mut bytes = encode(&Message::Leave).expect("encoded");
        bytes.extend(encode(&Message::Brief(Brief::default())).expect("encoded"));
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let _ = decode::<Message>(&bytes);
    }
}
