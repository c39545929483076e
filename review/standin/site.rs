//! A small site: a store, backends and VMs, and the checks that several cases share.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Spoil};
use crate::gateway::Vm;
use crate::store::Store;

/// What a case has found.
pub struct Outcome {
    /// The findings.
    pub lines: Vec<String>,
    /// A line for each request: when it was sent, what was answered, and where it ran.
    pub requests: Vec<String>,
    pub broken: bool,
    pub ran: bool,
}

impl Outcome {
    /// Creates the outcome of a case that could not run.
    pub fn not_run(lines: Vec<String>) -> Self {
        Self {
            lines,
            requests: Vec::new(),
            broken: false,
            ran: false,
        }
    }
}

/// A running site.
pub struct Site {
    pub backends: Vec<Backend>,
    pub vms: Vec<Vm>,
    pub started: Instant,
    dir: PathBuf,
}

/// The names of the VMs and their zones.
const VMS: [(&str, &str); 2] = [("edge-a-1", "zone-a"), ("edge-b-1", "zone-b")];

/// Length of a spell in which backends spoil answers, and of the pauses.
const SPELL: Duration = Duration::from_secs(5);
const SPELL_PAUSE: Duration = Duration::from_secs(3);

impl Site {
    /// Starts a site whose routes lead to one service, and waits until its VMs are ready.
    pub fn start(name: &str, backends: usize) -> Option<Self> {
        let dir = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).ok()?;
        let store = Store::start();
        store.put("keyed.op", "config", &configuration());
        let backends: Vec<Backend> = (0..backends)
            .map(|index| Backend::start(&format!("i-{index}"), "press-pack", VMS[index % 2].1, 2))
            .collect();
        backends
            .iter()
            .for_each(|backend| backend.announce(&store, "ready", 1));
        let vms: Vec<Vm> = VMS
            .iter()
            .map(|(name, zone)| Vm::start(&dir, name, zone, &store))
            .collect();
        let ready = vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(15)));
        let site = Self {
            backends,
            vms,
            started: Instant::now(),
            dir,
        };
        ready.then_some(site)
    }

    /// Lets the first half of the backends spoil each answer of the number `every`, in spells of 5 s
    /// with pauses of 3 s, until the given time.
    pub fn spoil_in_spells(&self, spoil: Spoil, every: usize, until: Instant) {
        let half = self.backends[..self.backends.len() / 2].to_vec();
        let set = move |spoil| {
            half.iter()
                .for_each(|backend| *backend.state.spoil.lock().unwrap() = (spoil, every))
        };
        thread::spawn(move || {
            thread::sleep(SPELL_PAUSE);
            while Instant::now() < until {
                set(spoil);
                thread::sleep(SPELL);
                set(Spoil::None);
                thread::sleep(SPELL_PAUSE);
            }
        });
    }

    /// Returns the ids of the requests whose answers were spoiled.
    pub fn spoiled(&self) -> Vec<String> {
        self.backends
            .iter()
            .flat_map(|backend| backend.ids("spoils"))
            .collect()
    }

    /// Returns the time since the start of the site, for the record.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    /// Returns which backends ran each request.
    pub fn runs(&self) -> BTreeMap<String, Vec<String>> {
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for backend in &self.backends {
            for id in backend.ids("runs") {
                runs.entry(id).or_default().push(backend.state.id.clone());
            }
        }
        runs
    }

    /// Returns the ids of the requests that the backends of the second half have received, which never
    /// spoil an answer.
    pub fn arrived_at_sound(&self) -> Vec<String> {
        let sound = &self.backends[self.backends.len() / 2..];
        sound
            .iter()
            .flat_map(|backend| backend.ids("arrives"))
            .collect()
    }

    /// Returns the ids of the requests that a backend has received.
    pub fn arrived(&self) -> Vec<String> {
        self.backends
            .iter()
            .flat_map(|backend| backend.ids("arrives"))
            .collect()
    }

    /// Records the ends of the processes, and checks the rule Fault: on two machines or more,
    /// processes end by themselves three times.
    pub fn check_ends(&self, lines: &mut Vec<String>) -> bool {
        let mut often = 0;
        for vm in &self.vms {
            let (ends, peak) = vm.ends();
            for end in &ends {
                lines.push(format!(
                    "{} ms: process of {}: {}",
                    self.ms(end.at),
                    end.vm,
                    end.how
                ));
            }
            lines.push(format!(
                "{}: {} ends of its process, at most {peak} MiB resident",
                vm.name,
                ends.len()
            ));
            often += usize::from(ends.len() >= 3);
        }
        often >= 2
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The configuration of the operators, with the limits of the example in the platform's pages.
fn configuration() -> String {
    let route = |kind: &str, timeout: u32| {
        format!(
            r#"{{"Type":"Routes","Metadata":{{"Name":"r-{kind}"}},"Spec":{{"Host":"site.example","PathPrefix":"/{kind}/","Kind":"{kind}","Timeout":"{timeout}ms","TargetLatency":"800ms","Priority":1,"Service":"press-pack","MaxAttempts":2}}}}"#
        )
    };
    let routes = [
        route("safe", 2_500),
        route("unsafe", 3_000),
        route("upload", 3_000),
    ]
    .join(",");
    format!(
        r#"{{"Version":"r7","Resources":[{routes},{{"Type":"Services","Metadata":{{"Name":"press-pack"}},"Spec":{{"HealthPath":"/health","MaxConns":220,"Protocol":"h1","Tls":false}}}},{{"Type":"Limits","Metadata":{{}},"Spec":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}}}]}}"#
    )
}

/// Returns the line of a request for the record.
pub fn request_line(at_ms: u128, id: &str, status: Option<u16>, ran_at: &[String]) -> String {
    let status = status.map_or("no answer".to_owned(), |status| status.to_string());
    let ran = match ran_at {
        [] => "not run".to_owned(),
        _ => format!("ran at {}", ran_at.join(" and ")),
    };
    format!("{at_ms} ms: {id}: {status}, {ran}")
}
