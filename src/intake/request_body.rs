use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout, timeout_at, Instant};

use super::{BodyFault, BodyLimits, Place};

/// Least memory that a body grows by, in bytes.
const MIN_GROWTH_BYTES: usize = 4 * 1024;

/// Reads the body of a request. Its memory counts until the last copy of the returned bytes is dropped. The parts
/// are copied together: each would keep the whole buffer that it was read with.
///
/// # Errors
/// Returns a [`BodyFault`] if the body isn't complete within the limits.
pub(crate) async fn read_body(
    place: &Place,
    body: &mut Incoming,
    limits: BodyLimits,
) -> Result<Bytes, BodyFault> {
    place.begin_request();
    let announced = body.size_hint().lower();
    if announced > limits.max_bytes as u64 {
        return Err(BodyFault::TooLong);
    }
    let read = tokio::select! {
        read = read_parts(place, body, limits) => read,
        () = place.displaced() => Err(BodyFault::NoRoom),
    };
    // The parts that were read are gone already: their memory is free for others.
    let bytes = read.inspect_err(|_| place.abandon_request())?;
    let taken = place.complete();
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(taken.own(bytes))
}

async fn read_parts(
    place: &Place,
    body: &mut Incoming,
    limits: BodyLimits,
) -> Result<Vec<u8>, BodyFault> {
    let mut bytes = Vec::new();
    let end = Instant::now() + limits.wait_time;
    loop {
        let frame = timeout_at(end, next_frame(body, limits.idle_time));
        let Some(frame) = frame.await.map_err(|_| BodyFault::Late)?? else {
            return Ok(bytes);
        };
        let length = bytes.len() + frame.len();
        if length > limits.max_bytes {
            return Err(BodyFault::TooLong);
        }
        if length > bytes.capacity() {
            let growth = (bytes.capacity() / 2).max(MIN_GROWTH_BYTES);
            let capacity = (bytes.capacity() + growth)
                .min(limits.max_bytes)
                .max(length);
            if !place.take(capacity - bytes.capacity()) {
                return Err(BodyFault::NoRoom);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&frame);
    }
}

/// The next bytes of a body; none at its end.
async fn next_frame(body: &mut Incoming, idle_time: Duration) -> Result<Option<Bytes>, BodyFault> {
    loop {
        let frame = timeout(idle_time, body.frame()).await;
        match frame.map_err(|_| BodyFault::Stalled)? {
            None => return Ok(None),
            Some(Err(e)) => return Err(BodyFault::Broken(Box::new(e))),
            // Trailers aren't passed on.
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
