//! The cases of this review that are scripts. Usage: `cases CASE RECORD ROOT`; `TROUBLE=0` leaves the
//! disruption out. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#![allow(dead_code)]

mod head_refused;
mod odd_entry;
mod part_of_400;
mod part_of_421;
mod site;

use std::path::Path;
use std::process::exit;

/// The result of a case: the broken rule with what was seen, or nothing if the rule held.
pub type Verdict = Result<Vec<String>, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, root] = &arguments[..] else {
        eprintln!("usage: cases CASE RECORD ROOT");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (record, root) = (Path::new(record), Path::new(root));
    site::end_after(std::time::Duration::from_secs(100));
    let verdict = match &**case {
        "head-refused" => head_refused::run(root, record, trouble),
        "odd-entry" => odd_entry::run(root, record, trouble),
        "part-of-421" => part_of_421::run(root, record, trouble),
        "part-of-400" => part_of_400::run(root, record, trouble),
        other => Err(format!("unknown case {other}")),
    };
    match verdict {
        Ok(seen) if seen.is_empty() => println!("the rule held"),
        Ok(seen) => {
            println!("the rule was broken {} times; the first:", seen.len());
            seen.iter().take(3).for_each(|line| println!("  {line}"));
            exit(1);
        }
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
