//! Structured logs: one line for each change of state, as text or JSON.

use logforth::append::Stdout;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::Level;
use logforth::record::LevelFilter;
use settings::LogFormat;

/// Starts logging to standard output. Further calls have no effect.
pub fn start_logging(format: LogFormat) {
    let builder = logforth::starter_log::builder();
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let builder = match format {
        LogFormat::Text => builder.dispatch(|dispatch| {
            dispatch
                .filter(filter)
                .append(Stdout::default().with_layout(TextLayout::default().no_color()))
        }),
        LogFormat::Json => builder.dispatch(|dispatch| {
            dispatch.filter(filter).append(Stdout::default().with_layout(JsonLayout::default()))
        }),
    };
    let _ = builder.try_apply();
}
