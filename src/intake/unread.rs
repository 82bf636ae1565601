use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Longest time for which the rest of a refused request is read.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Most bytes of the rest of a refused request that are read.
const MAX_DRAIN_BYTES: usize = 8 * 1024 * 1024;

/// Ends a connection whose last request wasn't read to its end: closing it with unread bytes resets it, and a
/// reset may destroy the answer before the client has read it.
pub(crate) async fn drain_unread(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let drain = async {
        stream.shutdown().await?;
        let mut buffer = [0; 8 * 1024];
        let mut drained = 0;
        while drained < MAX_DRAIN_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                n => drained += n,
            }
        }
        Ok::<_, std::io::Error>(())
    };
    // The client may have disconnected, which is all that is wanted.
    let _ = timeout(DRAIN_TIME, drain).await;
}
