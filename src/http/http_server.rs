use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tiny_http::{Request, Server};

use super::problem_json;
use crate::logic::router::Problem;

/// Stack of a thread that serves one request, in bytes.
const STACK: usize = 256 * 1024;

/// Serves HTTP requests, each on a thread of its own, bounded in number.
pub struct HttpServer {
    addr: SocketAddr,
    open: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Listens and serves every request with `handle`.
    ///
    /// Requests beyond `limit` are answered with 503 at once.
    ///
    /// # Errors
    /// Returns the error of the listening socket or of the first thread.
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
        let open = Arc::new(AtomicUsize::new(0));
        let counted = open.clone();
        std::thread::Builder::new()
            .name("http".into())
            .spawn(move || serve(&server, limit, &counted, &handle))?;
        Ok(Self { addr, open })
    }

    /// Waits until every request has its whole answer, for a bounded time.
    pub fn finish(&self, limit: Duration) {
        let start = Instant::now();
        while self.open.load(Ordering::SeqCst) > 0 && start.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

fn serve<H>(server: &Server, limit: usize, open: &Arc<AtomicUsize>, handle: &Arc<H>)
where
    H: Fn(Request) + Send + Sync + 'static,
{
    for request in server.incoming_requests() {
        if open.fetch_add(1, Ordering::SeqCst) >= limit {
            open.fetch_sub(1, Ordering::SeqCst);
            refuse(request, limit);
            continue;
        }
        let count = Counted(open.clone());
        let handle = handle.clone();
        let spawned = std::thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK)
            .spawn(move || {
                let _count = count;
                handle(request);
            });
        if let Err(e) = spawned {
            // The request was moved into the thread and its connection is closed.
            log::warn!(target: "runrail", "a request was dropped: {e}");
        }
    }
}

fn refuse(request: Request, limit: usize) {
    let detail = format!("{limit} requests are open, the limit of this router");
    let problem = Problem::not_run(503, detail).retry_in(1_000);
    // A caller that has hung up needs no answer.
    let _ = request.respond(problem_json::response(&problem, None));
}

/// Counts one request down when it ends, however it ends.
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
