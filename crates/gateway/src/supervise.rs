//! Contains panics. A duty that panics is started again, a request whose handler panics is answered, and
//! an instance that does little but panic is not ready.

use crate::port::PortKind;
use crate::serve::{CallerResponse, plain_response};
use crate::state::GatewayState;
use futures::FutureExt;
use http::{HeaderValue, StatusCode, header};
use smol_str::format_smolstr;
use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

/// Delay before a duty that panicked starts again, which prevents a busy loop.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a duty until it ends, and again whenever it panics.
pub(crate) fn spawn_duty<F>(
    state: &Rc<GatewayState>,
    name: &'static str,
    run: impl Fn(Rc<GatewayState>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        while let Err(panic) = AssertUnwindSafe(run(Rc::clone(&state))).catch_unwind().await {
            record_panic(&state, name, panic.as_ref());
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Runs a single task and records whether it panicked.
pub(crate) fn spawn_task(
    state: &Rc<GatewayState>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
            record_panic(&state, name, panic.as_ref());
        }
    });
}

/// Runs the handler of a request to a port. If it panics, the request may have run, and its connection
/// closes after the response. Only requests of callers show that the instance serves.
pub(crate) async fn contain_handler(
    state: Rc<GatewayState>,
    kind: PortKind,
    handler: impl Future<Output = CallerResponse>,
) -> CallerResponse {
    match AssertUnwindSafe(handler).catch_unwind().await {
        Ok(response) => {
            if kind == PortKind::Callers {
                state.panics.borrow_mut().record_success();
            }
            response
        }
        Err(panic) => {
            record_panic(&state, "handler", panic.as_ref());
            let text = "a fault of this instance ended the request, which may have run";
            let mut response = plain_response(StatusCode::BAD_GATEWAY, text, None);
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

/// Runs an operation and records whether it panicked.
pub(crate) fn contain(state: &GatewayState, name: &'static str, operation: impl FnOnce()) {
    if let Err(panic) = std::panic::catch_unwind(AssertUnwindSafe(operation)) {
        record_panic(state, name, panic.as_ref());
    }
}

fn record_panic(state: &GatewayState, task: &str, panic: &(dyn Any + Send)) {
    state.panics.borrow_mut().record_panic(state.now());
    state.metrics.panicked(task);
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let detail = format_smolstr!("{task}: {}", text.unwrap_or("no message"));
    state.log.state("panicked", &detail);
}
