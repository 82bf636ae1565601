//! One open session: reads, writes, and notices when the other side is silent.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::WebSocketStream;

use super::{decode, encode, FRAME_LIMIT};
use crate::message::Message;

pub(super) type Socket = WebSocketStream<TcpStream>;

/// Time for one frame of the handshake.
pub(super) const HANDSHAKE_TIME: Duration = Duration::from_secs(3);

/// Read buffer of a session, in bytes; the library's own is 128 KiB.
const BUFFER: usize = 4 * 1024;

/// Limits of a WebSocket connection.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT))
        .max_frame_size(Some(FRAME_LIMIT))
        .read_buffer_size(BUFFER)
        .write_buffer_size(0)
}

/// Sends one value as a frame.
pub(super) async fn put<T: serde::Serialize>(socket: &mut Socket, value: &T) -> Result<(), String> {
    let bytes = encode(value).map_err(|e| e.to_string())?;
    socket
        .send(Frame::Binary(bytes.into()))
        .await
        .map_err(|e| e.to_string())
}

/// Receives one value within the time of a handshake frame.
pub(super) async fn get<T: serde::de::DeserializeOwned>(socket: &mut Socket) -> Result<T, String> {
    let frame = timeout(HANDSHAKE_TIME, socket.next())
        .await
        .map_err(|_| "no handshake in time".to_string())?;
    match frame {
        Some(Ok(Frame::Binary(bytes))) => decode(&bytes).map_err(|e| e.to_string()),
        Some(Ok(_)) => Err("expected a binary frame".to_string()),
        Some(Err(e)) => Err(e.to_string()),
        None => Err("closed during the handshake".to_string()),
    }
}

/// Carries a session until it ends.
///
/// A ping goes out after each `idle`; three of them without any frame in
/// return end the session.
pub(super) async fn carry(
    mut socket: Socket,
    mut outgoing: mpsc::Receiver<Message>,
    idle: Duration,
    mut incoming: impl FnMut(Message),
) -> String {
    let mut heard = Instant::now();
    let mut ping = tokio::time::interval(idle);
    loop {
        tokio::select! {
            frame = socket.next() => {
                heard = Instant::now();
                match frame {
                    Some(Ok(Frame::Binary(bytes))) => match decode::<Message>(&bytes) {
                        Ok(message) => incoming(message),
                        Err(e) => return e.to_string(),
                    },
                    Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => {}
                    Some(Ok(_)) => return "closed by the other side".to_string(),
                    Some(Err(e)) => return e.to_string(),
                    None => return "closed by the other side".to_string(),
                }
            }
            message = outgoing.recv() => {
                let Some(message) = message else {
                    // No reply is waited for: the other side sees the stream end.
                    let _ = timeout(idle, socket.close(None)).await;
                    return "closed here".to_string();
                };
                let sent = timeout(idle * 3, put(&mut socket, &message)).await;
                match sent {
                    Ok(Ok(())) => {}
                    Ok(Err(e)) => return e,
                    Err(_) => return "the other side takes nothing".to_string(),
                }
            }
            _ = ping.tick() => {
                if heard.elapsed() > idle * 3 {
                    return "silent for too long".to_string();
                }
                if heard.elapsed() >= idle / 2 {
                    let sent = timeout(idle, socket.send(Frame::Ping(Vec::new().into()))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return "the other side takes nothing".to_string();
                    }
                }
            }
        }
    }
}
