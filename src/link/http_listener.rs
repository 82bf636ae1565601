//! HTTP listener for calls that are answered by their path alone.

use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Serves connections until the process ends; `answer` gets the path of each call.
pub(super) async fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(String) -> A + Clone + 'static,
    A: Future<Output = (StatusCode, Bytes)> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answered = answer(request.uri().path().to_string());
                async move {
                    let (status, body) = answered.await;
                    let mut response = Response::new(Full::new(body));
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            // An error of the connection is ignored: the client connects again.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
