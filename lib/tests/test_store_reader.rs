//! Guards against VMs that lack records of the store, or hold some that it does not have, after it has
//! come back from an older copy: directly, and by way of other VMs.

use std::collections::BTreeMap;

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::keyed_record::unseen;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::store_mirror::Changes;
use carobshore_lib::store_mirror::StoreMirror;
use carobshore_lib::store_reader::StoreReader;
use carobshore_lib::store_reader::Use;
use proptest::prelude::*;

/// The number of readers. Each may poll each other one.
const READERS: usize = 4;
/// Calls after which a reader has to have caught up with the store: one that tells it that the era has
/// risen, one for all records.
const CATCH_UP: usize = 3;

/// The newest value of each key.
type Values = BTreeMap<Box<str>, Box<str>>;

fn position(era: u64, offset: u64) -> StorePosition {
    let era: StoreEra = era.to_string().parse().expect("an era");
    StorePosition::new(era, offset)
}

#[derive(Clone, Debug, Default)]
struct Log(Vec<(Box<str>, Option<Box<str>>)>);

impl Log {
    fn record(&self, offset: usize) -> KeyedRecord {
        let (key, value) = self.0[offset].clone();
        KeyedRecord {
            offset: offset as u64,
            key,
            value,
        }
    }

    fn newest(&self) -> Vec<KeyedRecord> {
        let records = (0..self.0.len()).map(|offset| self.record(offset));
        let keyed: BTreeMap<_, _> = records.map(|record| (record.key.clone(), record)).collect();
        let newest = keyed.into_values();
        newest.filter(|record| record.value.is_some()).collect()
    }

    fn values(&self) -> Values {
        let newest = self.newest().into_iter();
        newest
            .filter_map(|record| Some((record.key, record.value?)))
            .collect()
    }
}

/// The store. Its era begins with 1.
#[derive(Clone, Debug, Default)]
struct Store {
    log: Log,
    copy: Log,
    restarts: u64,
}

impl Store {
    fn era(&self) -> u64 {
        self.restarts + 1
    }

    fn end(&self) -> StorePosition {
        position(self.era(), self.log.0.len() as u64)
    }

    /// Comes back from the copy. The writers write again what was lost, or some of them only.
    fn restart(&mut self, kept: usize) {
        let lost = std::mem::replace(&mut self.log, self.copy.clone());
        self.restarts += 1;
        let newest = lost.0.get(self.copy.0.len()..).unwrap_or_default();
        let newest: BTreeMap<_, _> = newest.iter().cloned().collect();
        self.log.0.extend(newest.into_iter().take(kept));
    }
}

/// An answer of the store, or of another VM.
#[derive(Clone, Debug)]
enum Answer {
    /// All records up to a position.
    List(Vec<KeyedRecord>, StorePosition),
    /// The records from a position on.
    Page {
        from: StorePosition,
        next: StorePosition,
        records: Vec<KeyedRecord>,
    },
    /// The store does not have the offset.
    Expired(StorePosition),
    /// What another VM knows.
    Polled(Option<StorePosition>, Changes),
}

#[derive(Clone, Debug, Default)]
struct Vm {
    reader: StoreReader,
    mirror: StoreMirror,
    newest: StoreEra,
}

impl Vm {
    /// Calls the store.
    fn call(&self, store: &Store) -> Answer {
        let end = store.end();
        let Some(from) = self.reader.known() else {
            return Answer::List(store.log.newest(), end);
        };
        if from.offset > end.offset {
            return Answer::Expired(end);
        }
        let records = (from.offset.0..end.offset.0).map(|offset| store.log.record(offset as usize));
        Answer::Page {
            from,
            next: end,
            records: records.collect(),
        }
    }

    /// Polls another VM, which answers if its records are of the newest era that it knows.
    fn poll(&self, other: &mut Self) -> Option<Answer> {
        other.observe(self.newest);
        let known = other.mirror.next()?;
        let is_newest = known.era == other.newest;
        let from = self.reader.known();
        is_newest.then(|| Answer::Polled(from, other.mirror.since(from)))
    }

    fn observe(&mut self, era: StoreEra) {
        self.newest = self.newest.max(era);
        self.reader.give_up(self.newest);
    }

    /// Takes an answer, which may be late.
    fn take(&mut self, answer: Answer) {
        match answer {
            Answer::List(records, end) => {
                self.observe(end.era);
                if self.reader.take_list(self.newest, end) == Use::Replace {
                    self.mirror.load(records, end);
                }
            }
            Answer::Page {
                from,
                next,
                records,
            } => {
                self.observe(next.era);
                // The offset stands for something else.
                if from.era != next.era {
                    return;
                }
                if let Use::Apply(known) = self.reader.take_page(from, next) {
                    self.mirror.extend(unseen(records, known), next);
                }
            }
            Answer::Expired(end) => {
                self.observe(end.era);
                self.reader.expired(end.era);
            }
            Answer::Polled(from, changes) => {
                self.observe(changes.era);
                let next = changes.position();
                let used = match (changes.complete, from) {
                    (true, _) => self.reader.take_snapshot(self.newest, next),
                    (false, Some(from)) => self.reader.take_page(from, next),
                    (false, None) => Use::Ignore,
                };
                match used {
                    Use::Replace => self.mirror.load(changes.records, next),
                    Use::Apply(known) => self.mirror.extend(unseen(changes.records, known), next),
                    Use::Current | Use::Ignore => {}
                }
            }
        }
    }

    fn values(&self) -> Values {
        let records = self.mirror.since(None).records.into_iter();
        records
            .filter_map(|record| Some((record.key, record.value?)))
            .collect()
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Write(u8, Option<u8>),
    Copy,
    Restart(usize),
    /// A VM calls the store, or polls another VM; its answer arrives at once or late.
    Call(usize, bool),
    Poll(usize, usize, bool),
    /// A late answer arrives.
    Arrive(usize),
    /// The process of a VM is started again.
    Start(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (any_vm, late) = (0..READERS, any::<bool>());
    let step = prop_oneof![
        6 => (0_u8..4, prop::option::weighted(0.8, any::<u8>())).prop_map(|(key, value)| Step::Write(key, value)),
        2 => Just(Step::Copy),
        2 => (0_usize..5).prop_map(Step::Restart),
        6 => (any_vm.clone(), late).prop_map(|(vm, late)| Step::Call(vm, late)),
        6 => (any_vm.clone(), 1..READERS, late).prop_map(|(vm, other, late)| Step::Poll(vm, (vm + other) % READERS, late)),
        4 => any::<usize>().prop_map(Step::Arrive),
        1 => any_vm.prop_map(Step::Start),
    ];
    prop::collection::vec(step, 0..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever was written, lost, answered late and handed on: each VM that has called the store a few times
    /// holds exactly what the store holds, and so does one that then polls it.
    #[test]
    fn a_reader_that_has_caught_up_holds_what_the_store_holds(steps in steps()) {
        let mut store = Store::default();
        let mut vms: Vec<Vm> = vec![Vm::default(); READERS];
        let mut late: Vec<(usize, Answer)> = Vec::new();
        for step in steps {
            match step {
                Step::Write(key, value) => {
                    let value = value.map(|value| value.to_string().into());
                    store.log.0.push((key.to_string().into(), value));
                }
                Step::Copy => store.copy = store.log.clone(),
                Step::Restart(kept) => store.restart(kept),
                Step::Call(vm, is_late) => {
                    let answer = vms[vm].call(&store);
                    match is_late {
                        true => late.push((vm, answer)),
                        false => vms[vm].take(answer),
                    }
                }
                Step::Poll(vm, other, is_late) => {
                    let mut source = std::mem::take(&mut vms[other]);
                    let answer = vms[vm].poll(&mut source);
                    vms[other] = source;
                    match answer {
                        Some(answer) if is_late => late.push((vm, answer)),
                        Some(answer) => vms[vm].take(answer),
                        None => {}
                    }
                }
                Step::Arrive(index) if !late.is_empty() => {
                    let (vm, answer) = late.swap_remove(index % late.len());
                    vms[vm].take(answer);
                }
                Step::Arrive(_) => {}
                // The connections of the process before end with it.
                Step::Start(vm) => {
                    vms[vm] = Vm::default();
                    late.retain(|(other, _)| *other != vm);
                }
            }
        }
        let (first, followers) = vms.split_first_mut().expect("a VM");
        for _ in 0..CATCH_UP {
            first.take(first.call(&store));
        }
        prop_assert_eq!(first.values(), store.log.values());
        prop_assert_eq!(first.reader.known(), Some(store.end()));
        for follower in followers {
            for _ in 0..CATCH_UP {
                let answer = follower.poll(first).expect("an answer of a VM that is up to date");
                follower.take(answer);
            }
            prop_assert_eq!(follower.values(), store.log.values());
        }
    }
}
