//! Health probes requested by the router. Each runs as a task of its own, so that a member that does not answer
//! delays no other probe.

use crate::driver::Driver;
use crate::upstream::Pool;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use linnetdeal_core::{Event, MemberId};
use std::rc::Rc;

/// Sends the requested probes until the channel of requests is closed.
pub async fn run(
    executor: Rc<LocalExecutor<'static>>,
    driver: Rc<Driver>,
    pool: Rc<Pool>,
    requests: Receiver<MemberId>,
) {
    while let Ok(member) = requests.recv().await {
        let (driver, pool) = (driver.clone(), pool.clone());
        executor.spawn(async move { drop(probe(&driver, &pool, member).await) }).detach();
    }
}

/// Probes a member once, passes the result to the router and returns the load report.
pub(crate) async fn probe(driver: &Driver, pool: &Pool, member: MemberId) -> Option<Vec<f64>> {
    let sent = driver.clock.now();
    driver.counters.probes.add();
    let (verdict, report) = pool.probe(&member).await;
    let took = driver.clock.now() - sent;
    driver.feed(Event::Probed { member, verdict, took, report: report.clone() });
    report
}
