use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tiny_http::{Request, Server};

use super::problem_json;
use crate::logic::router::Problem;

/// Stack size of a thread that serves one request.
const STACK_BYTES: usize = 256 * 1024;

/// Serves HTTP requests, each on its own thread; the number of open requests is limited.
pub struct HttpServer {
    addr: SocketAddr,
    open_requests: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Listens and serves every request with `handle`.
    ///
    /// While `limit` requests are open, further ones are refused with 503 at once.
    ///
    /// # Errors
    /// Returns the error of the listening socket or of the thread that accepts requests.
    pub fn start(
        listen: SocketAddr,
        limit: usize,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let server = Server::http(listen).map_err(std::io::Error::other)?;
        let addr = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| std::io::Error::other("not an IP address"))?;
        let handle = Arc::new(handle);
        let open_requests = Arc::new(AtomicUsize::new(0));
        let counter = open_requests.clone();
        std::thread::Builder::new()
            .name("http".into())
            .spawn(move || serve(&server, limit, &counter, &handle))?;
        Ok(Self {
            addr,
            open_requests,
        })
    }

    /// Waits until all open requests are answered, at most for `limit`.
    pub fn drain(&self, limit: Duration) {
        let start = Instant::now();
        while self.open_requests.load(Ordering::SeqCst) > 0 && start.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

fn serve<H>(server: &Server, limit: usize, open_requests: &Arc<AtomicUsize>, handle: &Arc<H>)
where
    H: Fn(Request) + Send + Sync + 'static,
{
    for request in server.incoming_requests() {
        if open_requests.fetch_add(1, Ordering::SeqCst) >= limit {
            open_requests.fetch_sub(1, Ordering::SeqCst);
            refuse(request, limit);
            continue;
        }
        let guard = OpenRequestGuard(open_requests.clone());
        let handle = handle.clone();
        let spawned = std::thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _guard = guard;
                handle(request);
            });
        if let Err(e) = spawned {
            // The request was moved into the closure; when that is dropped, tiny_http answers with
            // an empty 500.
            log::warn!(target: "runrail", "request dropped, its thread could not be started: {e}");
        }
    }
}

fn refuse(request: Request, limit: usize) {
    let detail = format!("this router has reached its limit of {limit} open requests");
    let problem = Problem::not_run(503, detail).with_retry(1_000);
    // If the caller has disconnected, nobody needs the response.
    let _ = request.respond(problem_json::response(&problem, None));
}

/// Decrements the number of open requests when dropped, also after a panic.
struct OpenRequestGuard(Arc<AtomicUsize>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
