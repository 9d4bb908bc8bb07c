//! Durability of the store on a simulated disk: power cuts at every byte, flipped bits, full disks, failed syncs.

mod faulty;

use super::frame::FILE_HEADER_BYTES;
use super::log_file::log_file_name;
use super::sync_hint::{SYNC_HINT_BYTES, SYNC_HINT_FILE};
use super::{RecoveredState, Store, StoreConfig, StoreError, WriteOperation};
use faulty::{Faulty, Image, RandomSource};
use rstest::rstest;
use std::collections::BTreeMap;

fn settings() -> StoreConfig {
    StoreConfig {
        max_bytes: 1 << 20,
        max_record_bytes: 2048,
    }
}

/// One call of the store.
#[derive(Clone, Debug)]
enum Call {
    Hard(Vec<u8>),
    Append(u64, Vec<Vec<u8>>),
    Both(Vec<u8>, u64, Vec<Vec<u8>>),
    Snapshot(u64, Vec<u8>),
}

fn call(store: &mut Store<Faulty>, call: &Call) -> Result<(), StoreError> {
    match call {
        Call::Hard(state) => store.set_hard_state(state),
        Call::Append(first, records) => store.append(*first, records),
        Call::Both(state, first, records) => store.write(&[
            WriteOperation::HardState(state),
            WriteOperation::Append {
                first: *first,
                records,
            },
        ]),
        Call::Snapshot(index, data) => store.install_snapshot(*index, data),
    }
}

/// What the store should hold; told in the plainest way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Model {
    hard: Option<Vec<u8>>,
    snapshot: Option<(u64, Vec<u8>)>,
    records: BTreeMap<u64, Vec<u8>>,
}

impl Model {
    fn next(&self) -> u64 {
        self.records
            .keys()
            .last()
            .copied()
            .max(self.snapshot.as_ref().map(|s| s.0))
            .unwrap_or(0)
            + 1
    }

    fn then(&self, call: &Call) -> Model {
        let mut model = self.clone();
        match call {
            Call::Hard(state) => model.hard = Some(state.clone()),
            Call::Append(first, records) => {
                model.records.retain(|index, _| index < first);
                model
                    .records
                    .extend((*first..).zip(records.iter().cloned()));
            }
            Call::Both(state, first, records) => {
                return model
                    .then(&Call::Hard(state.clone()))
                    .then(&Call::Append(*first, records.clone()));
            }
            Call::Snapshot(index, data) => {
                model.records.retain(|at, _| at > index);
                model.snapshot = Some((*index, data.clone()));
            }
        }
        model
    }

    fn of(restored: &RecoveredState) -> Model {
        Model {
            hard: restored.hard_state.clone(),
            snapshot: restored.snapshot.clone(),
            records: (restored.first_index..)
                .zip(restored.records.iter().cloned())
                .collect(),
        }
    }
}

/// Bytes, more or less long, some of them zeros all through.
fn random_bytes(random: &mut RandomSource) -> Vec<u8> {
    let length = [0, 1, 9, 40, 40, 200, 1300][random.below(7)];
    let zeros = random.below(4) == 0;
    (0..length)
        .map(|_| if zeros { 0 } else { random.below(256) as u8 })
        .collect()
}

fn history(seed: u64, calls: usize) -> Vec<Call> {
    let mut random = RandomSource::new(seed);
    let mut model = Model::default();
    let mut history: Vec<Call> = Vec::new();
    for _ in 0..calls {
        let first = model.snapshot.as_ref().map_or(1, |s| s.0 + 1);
        let back = random.below((model.next() - first).min(3) as usize + 1) as u64;
        let at = if random.below(3) == 0 {
            model.next() - back
        } else {
            model.next()
        };
        let records = (0..random.below(4))
            .map(|_| random_bytes(&mut random))
            .collect();
        let next = match random.below(8) {
            0 | 1 => Call::Hard(random_bytes(&mut random)),
            2 => Call::Both(random_bytes(&mut random), at, records),
            3 => Call::Snapshot(
                at - 1 + 2 * random.below(2) as u64,
                random_bytes(&mut random),
            ),
            _ => Call::Append(at, records),
        };
        model = model.then(&next);
        history.push(next);
    }
    history
}

struct RunResult {
    disk: Faulty,
    /// The id, once an opening was acknowledged.
    store_id: Option<u64>,
    acknowledged: Model,
    /// What would be there with the call that failed, if one did.
    with_failed_call: Model,
}

/// Runs a history until a call fails.
fn run(disk: Faulty, history: &[Call]) -> RunResult {
    let (mut acknowledged, mut with_failed_call, mut store_id) =
        (Model::default(), Model::default(), None);
    if let Ok((mut store, restored)) = Store::open_on(disk.clone(), settings()) {
        store_id = Some(restored.store_id);
        for next in history {
            with_failed_call = acknowledged.then(next);
            if call(&mut store, next).is_err() {
                break;
            }
            acknowledged = with_failed_call.clone();
        }
    }
    RunResult {
        disk,
        store_id,
        acknowledged,
        with_failed_call,
    }
}

#[rstest]
#[case::few_calls_cut_at_every_byte(1, 6, 1)]
#[case::other_calls_cut_at_every_byte(2, 6, 1)]
#[case::many_calls_cut_at_some_bytes(3, 40, 97)]
fn acknowledged_writes_survive_a_crash_at_any_byte(
    #[case] seed: u64,
    #[case] calls: usize,
    #[case] step: usize,
) {
    let history = history(seed, calls);
    let steps = run(Faulty::default(), &history).disk.spent();
    assert_eq!(
        run(Faulty::default(), &history).acknowledged,
        run(Faulty::default(), &history).with_failed_call
    );
    let (mut torn, mut fresh) = (0, 0);
    for cut in (0..=steps).step_by(step) {
        let ran = run(Faulty::default().power(cut), &history);
        let mut random = RandomSource::new(seed << 32 | cut);
        for image in [
            ran.disk.after_kill(),
            ran.disk.after_power_loss(&mut random),
        ] {
            // The opening may be cut too, and once more.
            let again = Faulty::with(&image).power(random.below(40) as u64);
            let _ = Store::open_on(again.clone(), settings());
            for image in [
                image,
                again.after_kill(),
                again.after_power_loss(&mut random),
            ] {
                let disk = Faulty::with(&image);
                let (mut store, restored) = Store::open_on(disk.clone(), settings())
                    .unwrap_or_else(|error| {
                        panic!("seed {seed}, cut at {cut} of {steps}: {error}")
                    });
                let model = Model::of(&restored);
                assert!(
                    model == ran.acknowledged || model == ran.with_failed_call,
                    "seed {seed}, cut at {cut}: {model:?}"
                );
                if let Some(id) = ran.store_id {
                    assert_eq!(
                        (restored.store_id, restored.newly_formatted),
                        (id, false),
                        "cut at {cut}"
                    );
                }
                torn += u32::from(restored.torn_tail.is_some());
                fresh += u32::from(restored.newly_formatted);
                // It goes on from there, and the next opening finds nothing torn any more.
                let more = Call::Append(store.next_index(), vec![b"after".to_vec()]);
                call(&mut store, &more).unwrap();
                drop(store);
                let (_, again) =
                    Store::open_on(Faulty::with(&disk.after_kill()), settings()).unwrap();
                assert_eq!(
                    (Model::of(&again), again.torn_tail),
                    (model.then(&more), None)
                );
            }
        }
    }
    // The cuts did meet half-written frames and half-formatted directories.
    assert!(torn > 100 && fresh > 0, "{torn} torn, {fresh} fresh");
}

/// A disk with some history and no crash, and where each frame of its log begins.
fn idle_disk(seed: u64) -> (Image, RecoveredState, Vec<u64>) {
    let disk = Faulty::default();
    let (mut store, _) = Store::open_on(disk.clone(), settings()).unwrap();
    let mut begins = vec![0, FILE_HEADER_BYTES];
    let last = Call::Append(1, vec![vec![0; 1700], b"x".to_vec()]);
    for next in history(seed, 16)
        .iter()
        .filter(|c| !matches!(c, Call::Snapshot(..)))
        .chain([&last])
    {
        let begin = store.log_length();
        if call(&mut store, next).is_ok() {
            begins.push(begin);
        }
    }
    assert!(begins.len() > 6);
    let image = disk.after_kill();
    let (_, restored) = Store::open_on(Faulty::with(&image), settings()).unwrap();
    (image, restored, begins)
}

/// The opening must refuse the image by this name and offset, and leave it as it is.
fn assert_reported_corrupt(image: &Image, name: &str, offset: u64, what: &str) {
    let disk = Faulty::with(image);
    match Store::open_on(disk.clone(), settings()) {
        Err(StoreError::Corrupt {
            file, offset: at, ..
        }) => {
            assert_eq!((&*file, at), (name, offset), "{what}");
        }
        Err(error) => panic!("{what}: {error}"),
        Ok((_, restored)) => panic!("{what}: read as {restored:?}"),
    }
    assert_eq!(disk.after_kill(), *image, "{what}");
}

#[rstest]
#[case::with_sync_hint(true)]
#[case::without_sync_hint(false)]
fn flipped_bit_is_reported_by_file_and_offset(#[case] hint: bool) {
    let (mut image, restored, begins) = idle_disk(4);
    let name = log_file_name(1);
    if !hint {
        image.insert(SYNC_HINT_FILE.into(), vec![0; SYNC_HINT_BYTES as usize]);
    }
    for byte in 0..image[&name].len() {
        let begin = *begins
            .iter()
            .filter(|begin| **begin <= byte as u64)
            .max()
            .unwrap();
        for bit in 0..8 {
            image.get_mut(&name).unwrap()[byte] ^= 1 << bit;
            assert_reported_corrupt(&image, &name, begin, &format!("bit {bit} of byte {byte}"));
            image.get_mut(&name).unwrap()[byte] ^= 1 << bit;
        }
    }
    for byte in 0..SYNC_HINT_BYTES as usize {
        image.get_mut(SYNC_HINT_FILE).unwrap()[byte] ^= 1 << (byte % 8);
        let (_, again) = Store::open_on(Faulty::with(&image), settings()).unwrap();
        assert_eq!(again, restored, "byte {byte} of the hint");
        image.get_mut(SYNC_HINT_FILE).unwrap()[byte] ^= 1 << (byte % 8);
    }
}

#[test]
fn missing_sectors_and_files_are_reported_and_an_emptied_disk_gets_a_new_id() {
    let (image, restored, begins) = idle_disk(5);
    let name = log_file_name(1);
    let log = &image[&name];
    let begin_of = |byte: usize| {
        *begins
            .iter()
            .filter(|begin| **begin <= byte as u64)
            .max()
            .unwrap()
    };
    let with = |log: Vec<u8>, hint: bool| {
        let mut image = image.clone();
        image.insert(name.clone(), log);
        if !hint {
            image.remove(SYNC_HINT_FILE);
        }
        image
    };
    for at in (0..log.len()).step_by(512) {
        let mut zeroed = log.clone();
        let end = log.len().min(at + 512);
        zeroed[at..end].fill(0);
        if zeroed == *log {
            continue;
        }
        let changed = (at..end).find(|byte| log[*byte] != 0).unwrap();
        assert_reported_corrupt(
            &with(zeroed.clone(), true),
            &name,
            begin_of(changed),
            &format!("no sector at {at}"),
        );
        // Without the hint, the last frame's sectors tell no more than that they were not written.
        if end as u64 <= *begins.last().unwrap() {
            assert_reported_corrupt(
                &with(zeroed, false),
                &name,
                begin_of(changed),
                &format!("no sector at {at}, no hint"),
            );
        }
    }
    for length in 0..log.len() {
        let begin = begin_of(length);
        let at = match length as u64 {
            length if length < FILE_HEADER_BYTES => 0,
            length if length == begin => length,
            _ => begin,
        };
        assert_reported_corrupt(
            &with(log[..length].to_vec(), true),
            &name,
            at,
            &format!("cut to {length}"),
        );
    }
    let mut without = image.clone();
    without.remove(&name);
    let error = Store::open_on(Faulty::with(&without), settings())
        .err()
        .unwrap();
    assert!(
        matches!(&error, StoreError::MissingFile { file } if *file == name),
        "{error}"
    );
    let (_, emptied) = Store::open_on(Faulty::with(&Image::new()), settings()).unwrap();
    assert!(emptied.newly_formatted && !restored.newly_formatted && emptied.records.is_empty());
}

/// Guards against taking for durable at the next opening what a failed sync has left in memory alone.
#[rstest]
fn recovered_state_survives_power_loss_after_a_failed_sync(#[values(1, 2, 3)] failing: u64) {
    let disk = Faulty::default();
    let (mut store, _) = Store::open_on(disk.clone(), settings()).unwrap();
    store.append(1, &[b"acknowledged".to_vec()]).unwrap();
    disk.fail_syncs(failing);
    assert!(store.append(2, &[b"in memory alone".to_vec()]).is_err());
    drop(store);
    // Openings fail as well for as long as syncs do.
    let opened = (0..failing).find_map(|_| Store::open_on(disk.clone(), settings()).ok());
    let (_, restored) = opened.expect("the last one succeeds");
    assert_eq!(restored.records.first(), Some(&b"acknowledged".to_vec()));
    for seed in 0..20 {
        let image = disk.after_power_loss(&mut RandomSource::new(seed));
        let (_, after) = Store::open_on(Faulty::with(&image), settings()).expect("seed {seed}");
        assert_eq!(after.records, restored.records, "seed {seed}");
    }
}

#[rstest]
fn full_disk_rejects_writes_and_keeps_acknowledged_data(#[values(6, 7)] seed: u64) {
    let history = history(seed, 14);
    let most = run(Faulty::default(), &history).disk.most_bytes();
    let mut refused = 0;
    for room in (0..most).step_by(7) {
        let disk = Faulty::default().room(Some(room));
        let Ok((mut store, first)) = Store::open_on(disk.clone(), settings()) else {
            continue;
        };
        let mut model = Model::default();
        for next in &history {
            match call(&mut store, next) {
                Ok(()) => model = model.then(next),
                Err(StoreError::IndexGap { .. }) => {}
                Err(error) => {
                    refused += 1;
                    assert!(error.is_out_of_space() && !store.needs_reopen(), "{error}");
                    let (_, restored) =
                        Store::open_on(Faulty::with(&disk.after_kill()), settings()).unwrap();
                    assert_eq!(
                        (Model::of(&restored), restored.torn_tail),
                        (model.clone(), None),
                        "room {room}"
                    );
                }
            }
        }
        // With room again, it goes on.
        let disk = disk.room(None);
        let more = Call::Append(store.next_index(), vec![vec![1; 2000]]);
        call(&mut store, &more).unwrap();
        let (_, restored) = Store::open_on(Faulty::with(&disk.after_kill()), settings()).unwrap();
        assert_eq!(Model::of(&restored), model.then(&more));
        assert_eq!(restored.store_id, first.store_id);
    }
    assert!(refused > 100, "{refused}");
}

#[test]
fn store_respects_its_size_limit_and_reserves_space_for_hard_states() {
    let settings = StoreConfig {
        max_bytes: 20_000,
        max_record_bytes: 500,
    };
    let disk = Faulty::default();
    let (mut store, _) = Store::open_on(disk.clone(), settings.clone()).unwrap();
    let mut model = Model::default();
    let fill = |store: &mut Store<Faulty>, model: &mut Model| loop {
        let next = Call::Append(store.next_index(), vec![vec![3; 200]]);
        match call(store, &next) {
            Ok(()) => *model = model.then(&next),
            Err(error) => break assert!(matches!(error, StoreError::Full { .. }), "{error}"),
        }
    };
    fill(&mut store, &mut model);
    // An election storm: what an old hard state took is given back, again and again, also with a log that is full.
    for term in 0..2000u64 {
        let next = Call::Hard(term.to_le_bytes().to_vec());
        call(&mut store, &next).unwrap();
        model = model.then(&next);
    }
    let before = store.next_index();
    let error = call(&mut store, &Call::Snapshot(before - 2, vec![5; 12_000])).unwrap_err();
    assert!(error.is_out_of_space());
    let snapshot = Call::Snapshot(before - 2, vec![5; 1000]);
    call(&mut store, &snapshot).unwrap();
    model = model.then(&snapshot);
    // A log that is rewritten over and over takes no more than one that isn't.
    let (end, records) = (store.next_index(), vec![vec![4; 200]]);
    for _ in 0..200 {
        let next = Call::Append(end - 1, records.clone());
        call(&mut store, &next).unwrap();
        model = model.then(&next);
    }
    fill(&mut store, &mut model);
    assert!(
        store.next_index() > before + 15 && disk.most_bytes() <= 20_000,
        "{}",
        disk.most_bytes()
    );
    let (_, restored) = Store::open_on(Faulty::with(&disk.after_kill()), settings).unwrap();
    assert_eq!(Model::of(&restored), model);

    let (first, next) = (store.first_index, store.next_index());
    for (index, records) in [(first - 1, 1), (next + 1, 1), (0, 0), (u64::MAX, 1)] {
        let error = store.append(index, &vec![vec![]; records]).unwrap_err();
        assert!(matches!(error, StoreError::IndexGap { .. }), "{error}");
    }
    for index in [0, first - 2, u64::MAX] {
        assert!(matches!(
            store.install_snapshot(index, b"").unwrap_err(),
            StoreError::IndexGap { .. }
        ));
    }
    assert!(matches!(
        store.append(next, &[vec![0; 501]]).unwrap_err(),
        StoreError::RecordTooLarge { .. }
    ));
}
