//! Real conductors as one fleet, behind relays that fail: promises 1 and 2, by the checker.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use whinhaven_lab::checker::{Limits, check};
use whinhaven_lab::fleet::{Fleet, FleetSettings};
use whinhaven_lab::history::{Record, STUCK};
use whinhaven_lab::process::{Folder, fault_shim};
use whinhaven_lab::soak::environment;

const DUTY: &str = "discovery-refresh";

/// Everything faster than in service, so that a story takes seconds.
const QUICK: &str = "[fleet.view]\nperiod_ms = 200\nprobe_timeout_ms = 70\nreconnect_ms = 500\n\
    [fleet.group]\nelection_us = 500000\nheartbeat_us = 60000\n\
    [fleet.lease]\ngranted_for_ms = 1500\nmargin_ms = 100\noffer_ms = 400\n";

/// Times so long that none of them runs out while a test looks: whatever changes in a view, a term or a lease was changed
/// by a message and not by a machine that stood still for a second.
const PATIENT: &str = "[fleet.view]\nperiod_ms = 20000\nprobe_timeout_ms = 9000\nreconnect_ms = 500\n\
    [fleet.group]\nelection_us = 6000000\nheartbeat_us = 60000\n\
    [fleet.lease]\ngranted_for_ms = 60000\nmargin_ms = 100\noffer_ms = 20000\n";

/// A fleet whose holder, leader and views are known.
struct Ground {
    fleet: Fleet,
    names: Vec<String>,
    voters: usize,
}

impl Ground {
    fn start(conductors: usize, voters: usize, seed: u64) -> Ground {
        Ground::start_with(conductors, voters, seed, "")
    }

    /// With more settings of the group.
    fn start_with(conductors: usize, voters: usize, seed: u64, group: &str) -> Ground {
        let more = QUICK.replace("[fleet.group]\n", &format!("[fleet.group]\n{group}"));
        Ground::start_in_time(conductors, voters, seed, more)
    }

    /// With other times of the view, the group and the leases.
    fn start_in_time(conductors: usize, voters: usize, seed: u64, more: String) -> Ground {
        Ground::start_of(FleetSettings {
            conductors,
            voters,
            seed,
            more,
            ..FleetSettings::default()
        })
    }

    /// With leases that are renewed at the leader, through relays.
    fn start_with_relays(conductors: usize, voters: usize, relays: usize, seed: u64) -> Ground {
        let more = QUICK.replace("[fleet.lease]\n", "[fleet.lease]\nrenewal = \"leader\"\n");
        let of = FleetSettings {
            conductors,
            voters,
            relays,
            seed,
            more,
            ..FleetSettings::default()
        };
        Ground::start_of(of)
    }

    fn start_of(settings: FleetSettings) -> Ground {
        let voters = settings.voters;
        let settings = FleetSettings {
            readers: 1,
            writers: 1,
            fleet: "refresh_period_ms = 20\n".to_owned(),
            ..settings
        };
        let fleet = Fleet::start(settings).unwrap();
        let names = fleet.names();
        let ground = Ground {
            fleet,
            names,
            voters,
        };
        ground.settled(&[]);
        ground
    }

    /// Waits until all but the `gone` agree and one of them has acted.
    fn settled(&self, gone: &[&str]) {
        let alive: Vec<&str> = self
            .names
            .iter()
            .map(String::as_str)
            .filter(|n| !gone.contains(n))
            .collect();
        let before = self.fleet.history.len();
        self.fleet.quiet(&alive, STUCK * 2);
        self.fleet.wait_for_views(&alive).unwrap();
        let acts = |r: &Record| r.event == "lease.act" && alive.contains(&r.source.as_str());
        self.fleet.wait_for(before, acts).unwrap();
    }

    /// Whoever has a part now: `leader`, `holder`, `voter` (of neither part) or `plain` (no voter, of neither part).
    fn who(&self, part: &str) -> String {
        let (leader, holder) = (
            self.fleet.leader().unwrap(),
            self.fleet.holder(DUTY).unwrap(),
        );
        let (voters, plain) = self.names.split_at(self.voters);
        let free = |names: &[String]| {
            names
                .iter()
                .find(|n| **n != leader && **n != holder)
                .cloned()
        };
        match part {
            "leader" => leader,
            "holder" => holder,
            "voter" => free(voters).unwrap(),
            // Where the only plain member holds the lease, that one.
            _ => free(plain).unwrap_or_else(|| plain[0].clone()),
        }
    }

    /// Waits for the next act of anybody but one.
    fn another_acts(&self, than: &str) {
        let acts = |r: &Record| r.event == "lease.act" && r.source != than;
        self.fleet.wait_for(self.fleet.history.len(), acts).unwrap();
    }

    fn end(self) {
        let records = self.fleet.history.records();
        let report = check(&records, &Limits::default());
        let judged = report.verdict(1).checked > 0 && report.verdict(2).checked > 0;
        if !report.is_kept() || !judged {
            let kept =
                std::env::temp_dir().join(format!("whinhaven-broken-{}.jsonl", std::process::id()));
            self.fleet.history.save(&kept).unwrap();
            panic!("{report}history: {}", kept.display());
        }
    }
}

#[rstest]
#[case::three(3, 3, &["leader", "holder", "voter"])]
#[case::five(5, 3, &["leader", "plain"])]
#[case::nine(9, 5, &["holder"])]
fn whoever_is_killed_is_found_dead_its_lease_moves_and_it_comes_back_from_its_disk(
    #[case] conductors: usize,
    #[case] voters: usize,
    #[case] parts: &[&str],
) {
    let ground = Ground::start(conductors, voters, 1);
    for part in parts {
        let victim = ground.who(part);
        ground.fleet.conductor(&victim).kill();
        ground.another_acts(&victim);
        ground.settled(&[&victim]);
        ground.fleet.restart(&victim, false).unwrap();
        ground.settled(&[]);
    }
    ground.end();
}

/// Relays, the leader and members behind relays are killed, and stopped past their leases, in turn.
#[rstest]
#[case::killed(false)]
#[case::stopped(true)]
fn with_relays_one_acts_whoever_goes_and_all_come_back(#[case] is_stopped: bool) {
    let ground = Ground::start_with_relays(7, 3, 2, 12);
    let leader = ground.who("leader");
    for victim in ["c4", "c5", "c6", &leader] {
        let conductor = ground.fleet.conductor(victim);
        if is_stopped {
            conductor.stop();
        } else {
            conductor.kill();
        }
        ground.another_acts(victim);
        ground.settled(&[victim]);
        if is_stopped {
            conductor.cont();
        } else {
            ground.fleet.restart(victim, false).unwrap();
        }
        ground.settled(&[]);
    }
    ground.end();
}

/// Guards against zombies: stopped past its lease, a conductor runs on where it was, and must do nothing more.
#[rstest]
#[case::leader("leader")]
#[case::holder("holder")]
fn whoever_is_stopped_past_its_lease_runs_on_and_does_nothing_under_it(#[case] part: &str) {
    let ground = Ground::start(3, 3, 2);
    let victim = ground.who(part);
    ground.fleet.conductor(&victim).stop();
    ground.another_acts(&victim);
    ground.settled(&[&victim]);
    ground.fleet.conductor(&victim).cont();
    ground.settled(&[]);
    ground.end();
}

#[rstest]
#[case::the_leader_alone("leader")]
#[case::the_holder_alone("holder")]
fn a_cut_off_conductor_stops_acting_before_another_starts(#[case] part: &str) {
    let ground = Ground::start(5, 5, 3);
    let victim = ground.who(part);
    ground.fleet.isolate(&victim);
    ground.another_acts(&victim);
    ground.settled(&[&victim]);
    ground.fleet.network.heal();
    ground.settled(&[]);
    ground.end();
}

/// The holder is in the minority: it stops, the majority goes on, and all agree after the heal.
#[test]
fn a_majority_goes_on_and_a_minority_does_not() {
    let ground = Ground::start(5, 5, 4);
    let holder = ground.who("holder");
    let other = ground.names.iter().find(|n| **n != holder).unwrap().clone();
    let rest: Vec<&str> = ground
        .names
        .iter()
        .map(String::as_str)
        .filter(|n| **n != holder && **n != *other)
        .collect();
    ground.fleet.split(&[&[&holder, &other], &rest]);
    let acts = |r: &Record| r.event == "lease.act" && rest.contains(&r.source.as_str());
    ground
        .fleet
        .wait_for(ground.fleet.history.len(), acts)
        .unwrap();
    ground.fleet.network.heal();
    ground.settled(&[]);
    ground.end();
}

#[rstest]
#[case::nothing_reaches_the_leader(true)]
#[case::nothing_comes_from_the_leader(false)]
fn a_cut_one_way_ends_with_one_holder(#[case] inwards: bool) {
    let ground = Ground::start(3, 3, 5);
    let leader = ground.who("leader");
    for other in ground.names.iter().filter(|n| **n != leader) {
        let (from, to) = if inwards {
            (other, &leader)
        } else {
            (&leader, other)
        };
        ground.fleet.network.cut_one_way(from, to);
    }
    ground.another_acts(&leader);
    ground.fleet.network.heal();
    ground.settled(&[]);
    ground.end();
}

#[test]
fn with_three_of_ten_messages_lost_there_is_one_holder_and_afterwards_one_view() {
    let ground = Ground::start(3, 3, 6);
    ground
        .fleet
        .history
        .note("lab", "fault.links", serde_json::json!({ "loss": 0.3 }));
    for (a, b) in ground
        .names
        .iter()
        .flat_map(|a| ground.names.iter().map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
    {
        ground.fleet.network.set(a, b, |f| f.loss = 0.3);
    }
    let holder = ground.who("holder");
    ground.fleet.conductor(&holder).kill();
    ground.another_acts(&holder);
    ground.fleet.restart(&holder, false).unwrap();
    ground.fleet.network.heal();
    ground.settled(&[]);
    ground.end();
}

/// An emptied disk: the member is another voter, and does not vote as if it remembered.
#[test]
fn a_voter_with_an_emptied_disk_comes_back_as_another() {
    let ground = Ground::start(3, 3, 7);
    let victim = ground.who("voter");
    ground.fleet.conductor(&victim).kill();
    ground.settled(&[&victim]);
    ground.fleet.restart(&victim, true).unwrap();
    ground.settled(&[]);
    ground.end();
}

/// A conductor with another key, forged and replayed datagrams on every link, and noise on the peers' listeners: each
/// is refused and told of, and nobody's view, leader or lease changes.
#[test]
fn forgers_and_strangers_change_nothing() {
    let mut ground = Ground::start_in_time(3, 3, 8, PATIENT.to_owned());
    let names = ground.names.clone();
    ground
        .fleet
        .history
        .note("lab", "lab.forging", serde_json::json!({}));
    let before = ground.fleet.history.len();
    ground.fleet.stranger("c9").unwrap();
    for (a, b) in names
        .iter()
        .flat_map(|a| names.iter().map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
    {
        ground
            .fleet
            .network
            .set(a, b, |f| (f.forge, f.replay) = (1.0, 1.0));
        let mut noise = std::net::TcpStream::connect(ground.fleet.peer_link(a, b)).unwrap();
        let _ = std::io::Write::write_all(&mut noise, &[0x5a; 4096]);
    }
    for name in &names {
        ground
            .fleet
            .wait_for(before, |r| r.is(name, "fleet.refused"))
            .unwrap();
        // Their own work goes on while the stranger knocks at their doors.
        while ground.fleet.network.carried("c9", name)[0] < 4 {
            ground.another_acts("c9");
        }
    }
    ground.fleet.note_memory();
    ground
        .fleet
        .history
        .note("lab", "lab.forged", serde_json::json!({}));
    let report = check(&ground.fleet.history.records(), &Limits::default());
    assert!(report.verdict(7).checked >= 9, "{report}");
    ground.end();
}

/// A deployment broken on purpose: two conductors, each the only voter of a group of its own, so that both hold what one
/// should. The checker has to see it in what real processes wrote.
#[test]
fn two_groups_where_one_should_be_are_caught() {
    let both = [Ground::start(1, 1, 9), Ground::start(1, 1, 10)];
    both[0].another_acts("");
    let mut records = both[0].fleet.history.records();
    let others = both[1].fleet.history.records().into_iter();
    records.extend(others.map(|r| Record {
        source: r.source.replace("c1", "c2"),
        ..r
    }));
    let report = check(&records, &Limits::default());
    let caught = |what: &str| {
        report
            .verdict(2)
            .violations
            .iter()
            .any(|v| v.what.contains(what))
    };
    assert!(
        caught("two holders at a time") && caught("was granted to c1@"),
        "{report}"
    );
}

/// Guards against a log cut short under members that lag behind: with entries that come fast and snapshots every few of
/// them, all of it lost now and then, everybody has to catch up and nobody's store may refuse what comes.
#[test]
fn members_that_lag_behind_a_snapshot_catch_up() {
    let ground = Ground::start_with(5, 3, 11, "snapshot_after = 16\n");
    ground
        .fleet
        .history
        .note("lab", "fault.links", serde_json::json!({ "loss": 0.3 }));
    for (a, b) in ground
        .names
        .iter()
        .flat_map(|a| ground.names.iter().map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
    {
        ground.fleet.network.set(a, b, |f| f.loss = 0.3);
    }
    let plain = ground.names[4].clone();
    for _ in 0..2 {
        ground.fleet.isolate(&plain);
        ground.another_acts(&plain);
        ground.settled(&[&plain]);
        for other in &ground.names[..4] {
            ground
                .fleet
                .network
                .set_both(&plain, other, |f| f.cut = false);
        }
        ground.settled(&[]);
    }
    let stopped = ground
        .fleet
        .history
        .count(|r| r.event == "fleet.stop" && r.text("cause") == "store");
    assert_eq!(stopped, 0);
    ground.end();
}

/// Faults drawn from a seed, some of them at once. More rounds: `WHINHAVEN_ROUNDS=200 cargo test --release -p whinhaven-lab
/// --test processes_ground rounds`, from the seed `WHINHAVEN_SEED` on.
#[test]
fn rounds_of_faults_by_seed() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |v| v.parse::<u64>().unwrap());
    let first = number("WHINHAVEN_SEED", 1);
    for seed in first..first + number("WHINHAVEN_ROUNDS", 1) {
        round(seed);
    }
}

fn round(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (conductors, voters) = *[(3, 3), (5, 3), (5, 5), (9, 5)]
        .choose(&mut random)
        .unwrap();
    println!("round {seed}: {conductors} conductors, {voters} voters");
    // Snapshots all the time, now and then, or hardly ever.
    let snapshots = *[8, 64, 1024].choose(&mut random).unwrap();
    let ground = Ground::start_with(
        conductors,
        voters,
        seed,
        &format!("snapshot_after = {snapshots}\n"),
    );
    let fleet = &ground.fleet;
    for _ in 0..random.random_range(1..4) {
        let mut struck: Vec<(String, u32)> = Vec::new();
        for _ in 0..random.random_range(1..3) {
            let part = *["leader", "holder", "voter", "plain"]
                .choose(&mut random)
                .unwrap();
            let victim = if part == "plain" && voters == conductors {
                ground.names.choose(&mut random).unwrap().clone()
            } else {
                ground.who(part)
            };
            if struck.iter().any(|(name, _)| *name == victim) {
                continue;
            }
            let what = random.random_range(0..7);
            println!("  {part} {victim}: fault {what}");
            match what {
                0 => fleet.conductor(&victim).kill(),
                1 => fleet.conductor(&victim).stop(),
                2 => fleet.isolate(&victim),
                3 => {
                    let other = ground.names.choose(&mut random).unwrap();
                    fleet.network.cut_one_way(&victim, other);
                }
                4 => {
                    let loss = random.random_range(0.1..0.5);
                    fleet.history.note(
                        "lab",
                        "fault.links",
                        serde_json::json!({ "to": victim, "loss": loss }),
                    );
                    fleet.network.set_both(&victim, "*", |f| f.loss = loss);
                }
                5 => {
                    // All that it says waits, and comes in a burst at the heal.
                    fleet.history.note(
                        "lab",
                        "fault.links",
                        serde_json::json!({ "to": victim, "held": true }),
                    );
                    fleet.network.set(&victim, "*", |f| f.held = true);
                }
                _ => {
                    // A link that flaps.
                    for _ in 0..random.random_range(2..8) {
                        fleet.isolate(&victim);
                        std::thread::sleep(Duration::from_millis(random.random_range(0..400)));
                        fleet.network.heal();
                        std::thread::sleep(Duration::from_millis(random.random_range(0..200)));
                    }
                }
            }
            struck.push((victim, what));
        }
        // Some last until all has been noticed, some less; no verdict hangs on it.
        std::thread::sleep(Duration::from_millis(random.random_range(0..4000)));
        fleet.network.heal();
        // One voter at a time may lose its disk.
        let emptied = struck.len() == 1 && random.random_bool(0.3);
        for (victim, what) in struck {
            match what {
                0 => _ = fleet.restart(&victim, emptied).unwrap(),
                1 => fleet.conductor(&victim).cont(),
                _ => {}
            }
        }
        ground.settled(&[]);
    }
    ground.end();
}

/// The rule watched: one holder acts at a time, and the views agree, though calls on links and datagrams fail.
#[rstest]
#[case::interrupted(format!("recv:{0}:5,send:{0}:5,recvfrom:{0}:5,sendto:{0}:5", libc::EINTR))]
#[case::short("recv:short:3,send:short:3".to_owned())]
#[case::no_buffers(format!("sendto:{0}:4,recvfrom:{1}:9", libc::ENOBUFS, libc::ECONNREFUSED))]
#[case::broken_links(format!("recv:{}:60,send:{}:40", libc::ETIMEDOUT, libc::EHOSTUNREACH))]
#[case::no_links(format!("connect:{}:3,accept4:{}:3", libc::EADDRNOTAVAIL, libc::ENFILE))]
fn a_fleet_goes_on_though_calls_between_its_conductors_fail(#[case] faults: String) {
    let (conductors, voters, more) = (3, 3, QUICK.to_owned());
    let environment = environment(&faults);
    let of = FleetSettings {
        conductors,
        voters,
        seed: 23,
        more,
        environment,
        ..FleetSettings::default()
    };
    let ground = Ground::start_of(of);
    let victim = ground.who("holder");
    ground.fleet.conductor(&victim).kill();
    ground.another_acts(&victim);
    ground.settled(&[&victim]);
    ground.fleet.restart(&victim, false).unwrap();
    ground.settled(&[]);
    ground.end();
}

/// Files by which a test has system calls on a conductor's folder fail.
struct FolderFaults {
    ground: Ground,
    control: PathBuf,
    _folder: Folder,
}

impl FolderFaults {
    fn start(seed: u64) -> FolderFaults {
        let folder = Folder::temporary().unwrap();
        let control = folder.path().join("faults");
        std::fs::write(&control, "").unwrap();
        let environment = vec![
            ("LD_PRELOAD", fault_shim().into()),
            ("FAULT_SHIM_FILES", control.clone().into()),
        ];
        let (conductors, voters, more) = (3, 3, QUICK.to_owned());
        let of = FleetSettings {
            conductors,
            voters,
            seed,
            more,
            environment,
            ..FleetSettings::default()
        };
        FolderFaults {
            ground: Ground::start_of(of),
            control,
            _folder: folder,
        }
    }

    /// From now on these calls on a conductor's folder fail, and no others.
    fn set(&self, victim: &str, faults: &[&str]) {
        let store = self.ground.fleet.store(victim);
        let lines: String = faults
            .iter()
            .map(|fault| format!("{fault}:{}\n", store.display()))
            .collect();
        // In one step: the conductors read the file at each of their calls.
        let whole = self.control.with_extension("new");
        std::fs::write(&whole, lines).unwrap();
        std::fs::rename(&whole, &self.control).unwrap();
    }

    fn clear(&self) {
        self.set("nobody", &[]);
    }
}

/// The rule watched: what was taken on is still owed though a folder fails for a while; the conductor takes part again when
/// the folder is back, with no restart.
#[rstest]
#[case::syncs("leader", &["fdatasync:5"])]
#[case::full("leader", &["pwrite64:28"])]
#[case::writes_and_cuts("holder", &["pwrite64:5", "ftruncate64:5"])]
#[case::all("voter", &["pwrite64:5", "ftruncate64:5", "fdatasync:5", "fsync:5", "rename:5"])]
fn a_conductor_whose_folder_fails_for_a_while_takes_part_again(
    #[case] part: &str,
    #[case] faults: &[&str],
) {
    let folder = FolderFaults::start(21);
    let ground = &folder.ground;
    let victim = ground.who(part);
    let before = ground.fleet.history.len();
    // Each renewal of a lease is written.
    folder.set(&victim, faults);
    let failed =
        |r: &Record| r.event == "fleet.stop" && r.source == victim && r.text("cause") == "store";
    ground.fleet.wait_for(before, failed).unwrap();
    ground.another_acts(&victim);
    ground.settled(&[&victim]);
    folder.clear();
    ground.settled(&[]);
    folder.ground.end();
}

/// The rule watched: half a write at a kill is cut off at the next start, and what was acknowledged is there.
#[rstest]
fn a_conductor_killed_in_the_middle_of_a_write_comes_back_from_its_disk(
    #[values("leader", "holder")] part: &str,
) {
    let folder = FolderFaults::start(22);
    let ground = &folder.ground;
    let victim = ground.who(part);
    let before = ground.fleet.history.len();
    folder.set(&victim, &["pwrite64:kill"]);
    ground
        .fleet
        .wait_for(before, |r| r.event == "lab.exited" && r.source == victim)
        .unwrap();
    folder.clear();
    ground.another_acts(&victim);
    ground.settled(&[&victim]);
    ground.fleet.restart(&victim, false).unwrap();
    ground.settled(&[]);
    folder.ground.end();
}

/// Guards against requests that a stopping member rejects though it admits requests still, since it has left its fleet.
#[test]
fn a_stopping_member_leaves_its_fleet_when_it_admits_no_more_requests() {
    let ground = Ground::start(3, 3, 1);
    let before = ground.fleet.history.len();
    let status = ground.fleet.conductor("c1").terminate().unwrap();
    assert!(status.is_some_and(|status| status.success()));
    let records = ground.fleet.history.since(before);
    let place = |of: &dyn Fn(&Record) -> bool| records.iter().position(of).expect("a record");
    let rejects = |r: &Record| r.source == "c1" && r.text("line").contains("to Rejecting");
    let leaves = |r: &Record| r.is("c1", "fleet.stop");
    assert!(place(&rejects) < place(&leaves));
    ground.end();
}
