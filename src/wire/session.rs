//! One open session: receives, sends, and detects a peer that is silent.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::WebSocketStream;

use super::{decode, encode, MAX_FRAME_BYTES};
use crate::message::Message;

pub(super) type Socket = WebSocketStream<TcpStream>;

/// Timeout of each step of opening a session: connecting, the WebSocket upgrade, and each
/// handshake frame that is received.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Read buffer of a session; the library's default is 128 KiB.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Longest frame of a peer that hasn't shown yet that it holds the fleet's key.
const MAX_HANDSHAKE_BYTES: usize = 4 * 1024;

/// Limits of a WebSocket connection whose other side may be anybody.
pub(super) fn handshake_config() -> WebSocketConfig {
    websocket_config()
        .max_message_size(Some(MAX_HANDSHAKE_BYTES))
        .max_frame_size(Some(MAX_HANDSHAKE_BYTES))
}

/// Allows messages on an accepted connection. Its other side waits for the last frame of the handshake, so that
/// none of its bytes is lost.
pub(super) async fn allow_messages(socket: Socket) -> Socket {
    let stream = socket.into_inner();
    WebSocketStream::from_raw_socket(stream, Role::Server, Some(websocket_config())).await
}

/// Limits of a WebSocket connection.
pub(super) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

/// Encodes a value and sends it as one frame.
pub(super) async fn send_value<T: serde::Serialize>(
    socket: &mut Socket,
    value: &T,
) -> Result<(), String> {
    let bytes = encode(value).map_err(|e| e.to_string())?;
    socket
        .send(Frame::Binary(bytes.into()))
        .await
        .map_err(|e| e.to_string())
}

/// Receives one value of the handshake within [`HANDSHAKE_TIMEOUT`].
pub(super) async fn receive_value<T: serde::de::DeserializeOwned>(
    socket: &mut Socket,
) -> Result<T, String> {
    let frame = timeout(HANDSHAKE_TIMEOUT, socket.next())
        .await
        .map_err(|_| "the handshake timed out".to_string())?;
    match frame {
        Some(Ok(Frame::Binary(bytes))) => decode(&bytes).map_err(|e| e.to_string()),
        Some(Ok(_)) => Err("expected a binary frame during the handshake".to_string()),
        Some(Err(e)) => Err(e.to_string()),
        None => Err("connection closed during the handshake".to_string()),
    }
}

/// Runs a session until it ends; returns why it ended.
///
/// Every `ping_interval` a ping is sent, unless a frame came within the last half of
/// `ping_interval`. At each of these times the session ends if no frame came for more than three
/// times `ping_interval`. It also ends when a message isn't sent within three times
/// `ping_interval`, or a ping within `ping_interval`.
pub(super) async fn run(
    mut socket: Socket,
    mut outgoing: mpsc::Receiver<Message>,
    ping_interval: Duration,
    mut incoming: impl FnMut(Message),
) -> String {
    let mut received_at = Instant::now();
    let mut ping = tokio::time::interval(ping_interval);
    loop {
        tokio::select! {
            frame = socket.next() => {
                received_at = Instant::now();
                match frame {
                    Some(Ok(Frame::Binary(bytes))) => match decode::<Message>(&bytes) {
                        Ok(message) => incoming(message),
                        Err(e) => return e.to_string(),
                    },
                    Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => {}
                    Some(Ok(_)) => return "closed by the peer".to_string(),
                    Some(Err(e)) => return e.to_string(),
                    None => return "closed by the peer".to_string(),
                }
            }
            message = outgoing.recv() => {
                let Some(message) = message else {
                    // The peer's close frame isn't awaited: the peer sees the connection end.
                    let _ = timeout(ping_interval, socket.close(None)).await;
                    return "closed by this side".to_string();
                };
                let sent = timeout(ping_interval * 3, send_value(&mut socket, &message)).await;
                match sent {
                    Ok(Ok(())) => {}
                    Ok(Err(e)) => return e,
                    Err(_) => return "the peer does not accept data".to_string(),
                }
            }
            _ = ping.tick() => {
                if received_at.elapsed() > ping_interval * 3 {
                    return "no frame was received for too long".to_string();
                }
                if received_at.elapsed() >= ping_interval / 2 {
                    let sent =
                        timeout(ping_interval, socket.send(Frame::Ping(Vec::new().into()))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return "the peer does not accept data".to_string();
                    }
                }
            }
        }
    }
}
