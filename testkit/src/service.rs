use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tiny_http::Server;

use crate::respond;

/// One call that a service received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Fence from the header `Runrail-Fence`; 0 where there is none.
    pub fence: u64,
}

/// A stand-in of a plain service; it doesn't check fences.
#[derive(Clone)]
pub struct Service {
    addr: SocketAddr,
    runs: Arc<Mutex<Vec<ServiceRun>>>,
    call_time: Arc<Mutex<Duration>>,
}

impl Service {
    /// Starts a service on a free port.
    ///
    /// # Panics
    /// When no port is free.
    pub fn start() -> Self {
        let server = Server::http("127.0.0.1:0").expect("a port");
        let addr = server.server_addr().to_ip().expect("an IP address");
        let service = Self {
            addr,
            runs: Arc::default(),
            call_time: Arc::default(),
        };
        let serving = service.clone();
        std::thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let service = serving.clone();
                std::thread::spawn(move || {
                    let body = respond::read_json(&mut request);
                    let fence = respond::header(&request, "Runrail-Fence");
                    let run = ServiceRun {
                        path: request.url().to_string(),
                        body: body.to_string(),
                        fence: fence.and_then(|f| f.parse().ok()).unwrap_or(0),
                    };
                    let number = {
                        let mut runs = service.runs.lock().unwrap_or_else(|e| e.into_inner());
                        runs.push(run);
                        runs.len()
                    };
                    let time = *service.call_time.lock().unwrap_or_else(|e| e.into_inner());
                    std::thread::sleep(time);
                    respond::json(request, 200, &json!({ "licence": number }));
                });
            }
        });
        service
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how long a call takes.
    pub fn set_time(&self, time: Duration) {
        *self.call_time.lock().unwrap_or_else(|e| e.into_inner()) = time;
    }

    /// All calls received so far.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}
