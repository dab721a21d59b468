//! Probes, as the module asks for them: each on its own, so that a silent member holds up no other.

use super::Node;
use async_channel::Receiver;
use linnetdeal_core::{Event, MemberId};
use std::rc::Rc;

/// Carries out the probes that are asked for. Runs as long as the module does.
pub async fn run(node: Rc<Node>, wanted: Receiver<MemberId>) {
    while let Ok(member) = wanted.recv().await {
        let prober = node.clone();
        node.executor.spawn(async move { probe(&prober, member).await }).detach();
    }
}

async fn probe(node: &Node, member: MemberId) {
    let sent = node.driver.clock.now();
    node.counters.probes.add();
    let (verdict, report) = node.pool.probe(&member).await;
    let took = node.driver.clock.now() - sent;
    node.driver.feed(Event::Probed { member, verdict, took, report });
}
