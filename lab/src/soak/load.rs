//! Clients of a soak: requests of both classes, with deadlines of their own, each under an id of its own.

use crate::clients::{Ask, Client};
use crate::hosts::Plan;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Clients that ask one after the other.
const CLIENTS: u64 = 40;

/// A running load.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Clients that ask on until the load is stopped.
    pub fn start(client: &Client, seed: u64) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CLIENTS).map(|number| {
            let (client, stop) = (client.clone(), stop.clone());
            let mut random =
                ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number));
            std::thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    ask_once(&client, &format!("s{seed}-{number}-{count}"), &mut random);
                    std::thread::sleep(Duration::from_millis(random.random_range(20..300)));
                }
            })
        });
        let threads = threads.collect();
        Load { stop, threads }
    }

    /// Begins nothing more and waits for what is in hand.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn ask_once(client: &Client, id: &str, random: &mut ChaCha8Rng) {
    let plan = Plan {
        name: id.to_owned(),
        words: random.random_range(5..60),
        calls: 0,
    };
    let class = if random.random() { "send" } else { "explain" };
    let deadline = Duration::from_millis(random.random_range(900..3_000));
    let at = random.random_range(0..client.conductors.len());
    client.platform(
        at,
        &Ask {
            plan,
            class: class.to_owned(),
            deadline,
        },
    );
}
