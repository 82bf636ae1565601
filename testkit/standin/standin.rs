use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::time::sleep;

use super::config::config;
use super::replica::{unix_ms, Replica};
use super::replica_calls::on_replica_call;
use super::serve::{runtime, serve, serve_at};
use super::store_calls::on_store_call;
use super::world::World;

/// A running stand-in of the platform: its store and its replicas.
pub struct Standin {
    world: Arc<Mutex<World>>,
    /// Address of its store.
    pub store: SocketAddr,
    _runtime: Runtime,
}

impl Standin {
    /// Starts a store that holds configuration version 1, and replicas: `engines` of service `pool`
    /// (ids `e0`, `e1` and so on) and `plain` of service `gate` (`p0`, `p1` and so on).
    pub fn start(engines: usize, plain: usize) -> Self {
        Self::start_in(1, engines, plain)
    }

    /// The same with engines in so many fabric domains (`d1`, `d2` and so on), as many in each as there
    /// can be. One that is added later is in the domain with the fewest.
    pub fn start_in(domains: usize, engines: usize, plain: usize) -> Self {
        let world = Arc::new(Mutex::new(World::default()));
        let runtime = runtime();
        let state = world.clone();
        let store = serve(&runtime, move |request| {
            on_store_call(state.clone(), request)
        });
        let standin = Self {
            world,
            store,
            _runtime: runtime,
        };
        standin.world().domains = domains;
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
                let mut world = world.lock().expect("state lock");
                world.expire_leases();
                world.update_list();
            }
        });
        standin
    }

    /// Locks its state.
    ///
    /// # Panics
    /// When a thread has panicked while it held the lock.
    pub fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("state lock")
    }

    /// Adds a replica of a service that has loaded no model.
    pub fn add(&self, id: &str, service: &'static str) {
        let runtime = runtime();
        let (world, own_id) = (self.world.clone(), id.to_string());
        let addr = serve(&runtime, move |request| {
            on_replica_call(world.clone(), own_id.clone(), request)
        });
        let replica = Replica {
            addr,
            listed_addr: None,
            service,
            domain: self.world().smallest_domain(),
            started_ms: unix_ms(),
            alive: true,
            slots: 8,
            silent: false,
            staged: None,
            last_model: None,
            seat: None,
            epoch: 0,
            fence: 0,
            orders: 0,
            stalled_since: None,
            frozen_since: None,
            frozen_ms: 0,
            limit: None,
            hold_off: None,
            leaving: false,
            refusals: 0,
            cut: false,
            repeats: false,
            header: None,
            arrivals: Vec::new(),
            runtime: Some(runtime),
        };
        self.world().replicas.insert(id.to_string(), replica);
    }

    /// Kills a replica and starts it again with the same id and address. It is then in no group.
    pub fn restart(&self, id: &str) {
        self.kill(id);
        let Some(addr) = self.world().replicas.get(id).map(|r| r.addr) else {
            return;
        };
        let runtime = runtime();
        let (world, own_id) = (self.world.clone(), id.to_string());
        serve_at(addr, &runtime, move |request| {
            on_replica_call(world.clone(), own_id.clone(), request)
        });
        let mut world = self.world();
        if let Some(replica) = world.replicas.get_mut(id) {
            replica.started_ms = unix_ms().max(replica.started_ms + 1);
            replica.alive = true;
            replica.last_model = None;
            replica.seat = None;
            replica.epoch = 0;
            replica.fence = 0;
            replica.orders = 0;
            replica.stalled_since = None;
            replica.frozen_since = None;
            replica.frozen_ms = 0;
            replica.hold_off = None;
            replica.leaving = false;
            replica.runtime = Some(runtime);
        }
        world.update_list();
    }

    /// Resets all connections of a replica and refuses new ones, while it goes on.
    pub fn disconnect(&self, id: &str) {
        let mut world = self.world();
        let runtime = world.replicas.get_mut(id).and_then(|r| r.runtime.take());
        drop(world);
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }

    /// Lets a replica that was disconnected take connections again, unless it was killed or restarted.
    pub fn reconnect(&self, id: &str) {
        let is_cut = |r: &Replica| r.alive && r.runtime.is_none();
        let replica = self
            .world()
            .replicas
            .get(id)
            .filter(|r| is_cut(r))
            .map(|r| r.addr);
        let Some(addr) = replica else {
            return;
        };
        let runtime = runtime();
        let (shared, own_id) = (self.world.clone(), id.to_string());
        serve_at(addr, &runtime, move |request| {
            on_replica_call(shared.clone(), own_id.clone(), request)
        });
        if let Some(replica) = self.world().replicas.get_mut(id) {
            replica.runtime = Some(runtime);
        }
    }

    /// Ids of all replicas that run.
    pub fn alive(&self) -> Vec<String> {
        let world = self.world();
        let alive = world.replicas.iter().filter(|(_, r)| r.alive);
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Ids of the replicas of the plain service that run.
    pub fn plain(&self) -> Vec<String> {
        let world = self.world();
        let plain = world.replicas.iter();
        let plain = plain.filter(|(_, r)| r.alive && r.service == "gate");
        plain.map(|(id, _)| id.clone()).collect()
    }

    /// Kills a replica without starting it again.
    pub fn kill(&self, id: &str) {
        self.world().kill(id);
    }

    /// Members of each open group whose members all run and have joined it, the head first.
    pub fn open_groups(&self) -> Vec<Vec<String>> {
        let world = self.world();
        let heads = world.replicas.values().filter_map(|r| {
            let seat = r
                .seat
                .as_ref()
                .filter(|s| s.rank == 0 && s.state(r.clock()) == "open")?;
            let all = seat.members.iter().all(|m| world.has_joined(m, seat));
            (r.alive && all).then(|| seat.members.clone())
        });
        heads.collect()
    }
}
