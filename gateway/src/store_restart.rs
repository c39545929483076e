//! Notices that the store has come back from an older copy.

use std::rc::Rc;

use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_platform::store_client::Topic;

use crate::gateway::Gateway;

/// Logs and counts the restarts of the store, until the process exits.
pub(crate) async fn watch(gateway: Rc<Gateway>) -> eyre::Result<()> {
    let mut known = StoreEra::default();
    loop {
        let newest = gateway.eras.risen_above(known).await;
        report(&gateway, known, newest);
        known = newest;
    }
}

fn report(gateway: &Gateway, known: StoreEra, newest: StoreEra) {
    let [operators, targets] =
        [Topic::Operators, Topic::Targets].map(|topic| gateway.feed(topic).next());
    let is_earlier = |at: &StorePosition| at.era < newest;
    let has_earlier = operators.iter().chain(&targets).any(is_earlier);
    if known == StoreEra::default() && !has_earlier {
        log::info!(era = newest.get(); "the store states its era");
        return;
    }
    gateway.metrics.store_restart();
    let offset = |at: Option<StorePosition>| at.map(|at| at.offset.0);
    log::warn!(
        known = known.get(), era = newest.get(), operators = offset(operators), targets = offset(targets);
        "the store has come back from an older copy"
    );
}
