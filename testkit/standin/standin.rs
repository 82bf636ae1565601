use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::time::sleep;

use super::config::config;
use super::replica::{unix_ms, Replica};
use super::replica_calls::replica_call;
use super::serve::{runtime, serve, serve_at};
use super::store_calls::store_call;
use super::world::World;

/// The platform while a test runs.
pub struct Standin {
    world: Arc<Mutex<World>>,
    /// Where its store listens.
    pub store: SocketAddr,
    _runtime: Runtime,
}

impl Standin {
    /// A store with a configuration, and replicas that are listed.
    pub fn start(engines: usize, plain: usize) -> Self {
        let world = Arc::new(Mutex::new(World::default()));
        let runtime = runtime();
        let inside = world.clone();
        let store = serve(&runtime, move |request| store_call(inside.clone(), request));
        let standin = Self {
            world,
            store,
            _runtime: runtime,
        };
        standin.world().put("op/config", &config(1));
        for n in 0..engines {
            standin.add(&format!("e{n}"), "pool");
        }
        for n in 0..plain {
            standin.add(&format!("p{n}"), "gate");
        }
        let world = standin.world.clone();
        standin._runtime.spawn(async move {
            loop {
                sleep(Duration::from_millis(30)).await;
                let mut world = world.lock().expect("the world");
                world.expire();
                world.list();
            }
        });
        standin
    }

    /// What it knows now.
    ///
    /// # Panics
    /// When a thread that held it has panicked.
    pub fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("the world")
    }

    /// Adds an empty replica.
    pub fn add(&self, id: &str, service: &'static str) {
        let runtime = runtime();
        let (world, me) = (self.world.clone(), id.to_string());
        let addr = serve(&runtime, move |request| {
            replica_call(world.clone(), me.clone(), request)
        });
        let replica = Replica {
            addr,
            service,
            born: unix_ms(),
            alive: true,
            silent: false,
            staged: None,
            last: None,
            seat: None,
            epoch: 0,
            fence: 0,
            stalled: None,
            limit: None,
            arrivals: Vec::new(),
            runtime: Some(runtime),
        };
        self.world().replicas.insert(id.to_string(), replica);
    }

    /// Ends a replica without a word; it starts again under its id, at its address.
    pub fn restart(&self, id: &str) {
        self.kill(id);
        let Some(addr) = self.world().replicas.get(id).map(|r| r.addr) else {
            return;
        };
        let runtime = runtime();
        let (world, me) = (self.world.clone(), id.to_string());
        serve_at(addr, &runtime, move |request| {
            replica_call(world.clone(), me.clone(), request)
        });
        let mut world = self.world();
        if let Some(replica) = world.replicas.get_mut(id) {
            replica.born = unix_ms().max(replica.born + 1);
            replica.alive = true;
            replica.last = None;
            replica.seat = None;
            replica.epoch = 0;
            replica.fence = 0;
            replica.stalled = None;
            replica.runtime = Some(runtime);
        }
        world.list();
    }

    /// Ids of all replicas that work.
    pub fn alive(&self) -> Vec<String> {
        let world = self.world();
        let alive = world.replicas.iter().filter(|(_, r)| r.alive);
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Ends a replica for good, without a word.
    pub fn kill(&self, id: &str) {
        self.world().kill(id);
    }

    /// Members of open groups, by group, the head first.
    pub fn open_groups(&self) -> Vec<Vec<String>> {
        let world = self.world();
        let heads = world.replicas.values().filter_map(|r| {
            let seat = r
                .seat
                .as_ref()
                .filter(|s| s.rank == 0 && s.state() == "open")?;
            let all = seat.members.iter().all(|m| world.holds(m, seat));
            (r.alive && all).then(|| seat.members.clone())
        });
        heads.collect()
    }
}
