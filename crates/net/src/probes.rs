//! Probes, as the module asks for them: each on its own, so that a silent member holds up no other.

use crate::driver::Driver;
use crate::upstream::Pool;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use linnetdeal_core::{Event, MemberId};
use std::rc::Rc;

/// Carries out the probes that are asked for. Runs as long as the module does.
pub async fn run(
    executor: Rc<LocalExecutor<'static>>,
    driver: Rc<Driver>,
    pool: Rc<Pool>,
    wanted: Receiver<MemberId>,
) {
    while let Ok(member) = wanted.recv().await {
        let (driver, pool) = (driver.clone(), pool.clone());
        executor.spawn(async move { drop(probe(&driver, &pool, member).await) }).detach();
    }
}

/// Asks a member once, and hands what it says to the module.
pub(crate) async fn probe(driver: &Driver, pool: &Pool, member: MemberId) -> Option<Vec<f64>> {
    let sent = driver.clock.now();
    driver.counters.probes.add();
    let (verdict, report) = pool.probe(&member).await;
    let took = driver.clock.now() - sent;
    driver.feed(Event::Probed { member, verdict, took, report: report.clone() });
    report
}
