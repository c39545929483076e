//! The faults of section 3 of the design page and the steps at which they are injected.

use std::time::Duration;

use carobshore_lib::prelude::*;
use rand::RngExt;

use crate::sim_platform::FakeTarget;
use crate::sim_world::MESSAGE_DELAY;
use crate::sim_world::World;

macro_rules! listed {
    ($(#[$meta:meta])* $name:ident { $($(#[$inner:meta])* $variant:ident,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[allow(missing_docs, reason = "the names are those of the design page")]
        pub enum $name {
            $($(#[$inner])* $variant,)*
        }

        impl $name {
            /// Every value.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];
        }
    };
}

listed! {
    /// A step of a request, of a configuration change, of a membership change or of a planned stop.
    Step {
        Deliver,
        Arrive,
        Forward,
        Begin,
        Connect,
        Write,
        Run,
        Head,
        End,
        Answer,
        Intent,
        Confirm,
        ConfigRead,
        TakenBack,
        Join,
        Joined,
        Silent,
        Displace,
        Displaced,
        Signal,
        Announce,
        Leave,
        Left,
        Closed,
        Exit,
    }
}

listed! {
    /// A fault.
    Fault {
        Straggler,
        Drain,
        FastFailure,
        LogDown,
        LogSlow,
        AppendAnswerLost,
        LeaseLapsedInPause,
        ConfirmRace,
        SilentConnection,
        CutResponse,
        LateResponse,
        TargetCrash,
        VmCrash,
        VmReplaced,
        ListLagging,
        ListWrong,
        ClockStep,
        DuplicatedMessage,
        /// Cut off from the log and its peers, while callers and targets reach it.
        VmIsolated,
    }
}

/// How often a fault is injected, and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Once.
    Once,
    /// Again within a few seconds, elsewhere.
    Twice,
    /// Together with a log outage.
    WithOutage,
}

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The fault.
    pub fault: Fault,
    /// The step at which it is injected.
    pub step: Step,
    /// How often, or together with what, it is injected.
    pub variant: Variant,
    /// The fault is injected at the first occasion after this time.
    pub armed: Duration,
}

/// The length of log outages, list faults and the like; some faults last a fraction or a multiple.
const FAULT_TIME: Duration = Duration::from_secs(14);

/// The length of a VM pause: longer than the read lease.
const PAUSE: Duration = Duration::from_secs(12);

impl World {
    /// Injects the fault of a cell.
    pub fn inject_cell(&mut self, cell: Cell, vm: usize, target: Option<usize>) {
        let target = target.unwrap_or_else(|| self.rng.random_range(0..self.targets.len()));
        self.inject(cell.fault, vm, target);
        match cell.variant {
            Variant::Once => {}
            Variant::WithOutage => self.inject(Fault::LogDown, vm, target),
            Variant::Twice => {
                let delay = self.random_time(Duration::from_secs(6));
                self.after(delay, move |world| world.inject_somewhere(cell.fault));
            }
        }
    }

    /// Injects a fault at a random VM and target.
    pub fn inject_somewhere(&mut self, fault: Fault) {
        let alive = self.alive();
        if alive.is_empty() {
            return;
        }
        let vm = alive[self.rng.random_range(0..alive.len())];
        let target = self.rng.random_range(0..self.targets.len());
        self.inject(fault, vm, target);
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: Fault, vm: usize, target: usize) {
        self.trace_event(|| format!("FAULT {fault:?} vm {vm} target {target}"));
        let now = self.now;
        let period = (now, now + FAULT_TIME);
        match fault {
            Fault::Straggler => self.targets[target].slow.push((now, now + FAULT_TIME / 2)),
            Fault::Drain => self.drain(target),
            Fault::FastFailure => self.targets[target].sheds.push((now, now + FAULT_TIME / 3)),
            Fault::LogDown => self.log.outages.push(period),
            Fault::LogSlow => self.log.slow.push(period),
            Fault::AppendAnswerLost => self.log.lost_answers += 2,
            Fault::LeaseLapsedInPause => self.pause(vm, PAUSE),
            Fault::ConfirmRace => self.race(target),
            Fault::SilentConnection => self.silence(vm, target),
            Fault::CutResponse => self.targets[target].cut += 2,
            // Slow as well, so that other requests are outstanding when the late responses come.
            Fault::LateResponse => {
                self.targets[target].late += 2;
                self.targets[target].slow.push((now, now + FAULT_TIME * 2));
            }
            Fault::TargetCrash => self.crash_target(target),
            Fault::VmCrash => self.crash_and_replace(vm, Duration::from_secs(6)),
            Fault::VmReplaced => self.crash_and_replace(vm, Duration::ZERO),
            Fault::ListLagging => self.list.lag.push((period, Duration::from_secs(20))),
            Fault::ListWrong => self.list_wrong(vm, target),
            Fault::ClockStep => self.step_clock(vm),
            Fault::DuplicatedMessage => {
                self.repeat_deliveries += 5;
                self.repeat_heartbeats += 10;
                self.log.repeat += 2;
            }
            Fault::VmIsolated => self.isolate(vm),
        }
    }

    /// The platform drains a target: the list shows it as leaving, and the target signals it.
    fn drain(&mut self, target: usize) {
        if std::mem::replace(&mut self.targets[target].drains, true) {
            return;
        }
        self.after(Duration::from_millis(300), move |world| {
            let now = world.now;
            world.list.change(now, |list| list.leaving.insert(target));
        });
        self.after(Duration::from_secs(9), move |world| world.take_back(target));
    }

    /// Pauses a VM: nothing in it runs, and its messages wait.
    pub fn pause(&mut self, vm: usize, time: Duration) {
        let until = self.now + time;
        self.vms[vm].paused_until = self.vms[vm].paused_until.max(until);
        self.records.pauses.push((vm, (self.now, until)));
    }

    /// Cuts a VM off from the log and its peers. The platform no longer lists it.
    fn isolate(&mut self, vm: usize) {
        let until = self.now + FAULT_TIME * 2;
        self.vms[vm].isolated_until = until;
        self.records.pauses.push((vm, (self.now, until)));
        let (now, name) = (self.now, self.vms[vm].name.clone());
        self.list.change(now, |list| list.live.remove(&name));
        self.after(FAULT_TIME * 2, move |world| {
            let now = world.now;
            if world.vms[vm].alive {
                world.list.change(now, |list| list.live.insert(name));
            }
        });
    }

    /// Two operators confirm plans that are based on the same configuration.
    fn race(&mut self, target: usize) {
        for slots in [3, 4] {
            let set = Change::SetSlots {
                service: self.service.clone(),
                target: Self::target_id(target),
                slots: Slots::try_from(slots).unwrap(),
            };
            self.publish_and_confirm(vec![set], 0, |_, _| {});
        }
    }

    /// Drops the responses, and half of the time the requests too, on the open connections between
    /// a VM and a target.
    fn silence(&mut self, vm: usize, target: usize) {
        let reads = self.rng.random_bool(0.5);
        let conns = self.vms[vm].conns.iter_mut();
        for (_, conn) in conns.filter(|((to, _), _)| *to == target) {
            conn.loses_responses = true;
            conn.loses_requests |= reads;
        }
    }

    fn crash_target(&mut self, target: usize) {
        let down = (self.now, self.now + Duration::from_secs(3));
        let state: &mut FakeTarget = &mut self.targets[target];
        state.run += 1;
        state.down.push(down);
        for vm in 0..self.vms.len() {
            let conns: Vec<_> = self.vms[vm].conns.keys().copied().collect();
            for (to, conn) in conns.into_iter().filter(|(to, _)| *to == target) {
                self.on_vm(vm, MESSAGE_DELAY, move |world| {
                    world.on_broken(vm, to, conn);
                });
            }
        }
    }

    fn crash_and_replace(&mut self, vm: usize, delay: Duration) {
        if !self.vms[vm].alive {
            return;
        }
        self.end_vm(vm);
        let (name, domain) = (self.vms[vm].name.clone(), self.vms[vm].domain);
        let run = self.vms.len();
        let name = format!(
            "{}-{run}",
            name.split('-').take(2).collect::<Vec<_>>().join("-")
        );
        self.after(delay, move |world| world.start_vm(&name, domain));
    }

    fn list_wrong(&mut self, vm: usize, target: usize) {
        let mut wrong = self.list.read(self.now);
        wrong.live.remove(&self.vms[vm].name);
        let dead = self.vms.iter().filter(|vm| !vm.alive);
        wrong.live.extend(dead.map(|vm| vm.name.clone()));
        wrong.leaving.insert(target);
        let period = (self.now, self.now + FAULT_TIME);
        self.list.wrong.push((period, wrong));
    }

    /// Steps a VM's wall clock and corrects it before the VM trusts it again.
    fn step_clock(&mut self, vm: usize) {
        let sizes = [1_500, -1_500, 5_000, -5_000, 30_000, -30_000];
        let step: i64 = sizes[self.rng.random_range(0..sizes.len())];
        self.vms[vm].wall_offset += step;
        let millis = step.unsigned_abs().min(4_000);
        self.after(Duration::from_millis(millis), move |world| {
            world.vms[vm].wall_offset -= step;
        });
    }
}
