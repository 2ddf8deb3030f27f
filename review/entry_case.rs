// An entry of another writer among the servers in the store.

const ENTRY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the route's timeout by which a request must have an answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Fewest late requests from which the rule is judged.
const LATE_MIN: usize = 8;
const ENTRY_AT: Duration = Duration::from_secs(5);
const ENTRY_LENGTH: Duration = Duration::from_secs(20);

/// Exits with 1 if more than half of the requests that are unanswered at the timeout of their route have
/// no answer half a second later.
fn entry_case(folder: &PathBuf, record: &Record) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(7, ENTRY_TIMEOUT.as_secs_f64(), 2));
    let servers: Vec<SoundServer> = (0..3)
        .map(|index| {
            let work = Duration::from_millis(50);
            let server = SoundServer::start(&format!("i-0000000{index}"), 6, work, record);
            let entry = server_entry(server.address, "huvo11a", "gt-central-a", 6, "ready");
            store.put(&format!("servers/{}", server.name), &entry);
            server
        })
        .collect();
    let Some(gateways) = start_fleet(folder, 2, 6, &store) else { return 2 };
    // The fields `version`, `seq`, `warmup_left_s` and `born` are missing.
    let slots = std::env::var("SLOTS").unwrap_or_else(|_| u32::MAX.to_string());
    let forged = format!(
        r#"{{"address":"{}","info":{{"service":"huvo11a","zone":"gt-central-a","slots":{slots}}},"status":{{"state":"ready"}}}}"#,
        servers[0].address
    );
    // Time to the end of each request, and whether it was answered.
    let samples = Arc::new(Mutex::new(Vec::<(Duration, bool)>::new()));
    let mut random = Random::new();
    let start = Instant::now();
    let mut is_written = !has_trouble();
    let mut sent = 0_u32;
    let mut threads = Vec::new();
    while start.elapsed() < ENTRY_LENGTH {
        let due = start + Duration::from_millis(25) * sent;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if !is_written && start.elapsed() > ENTRY_AT {
            store.put("servers/i-0f0e0d0c", &forged);
            record.line(&format!("another writer wrote servers/i-0f0e0d0c: {forged}"));
            is_written = true;
        }
        sent += 1;
        let gateway = gateways[random.below(gateways.len())].callers;
        let (samples, record) = (Arc::clone(&samples), record.clone());
        threads.push(std::thread::spawn(move || {
            let id = new_id();
            record.line(&format!("{id} sent to {gateway}"));
            let sent = Instant::now();
            let budget = Duration::from_millis(2_500);
            let seen = send(gateway, "POST", "/unsafe/2f", &id, 2_500, b"order", budget);
            let took = sent.elapsed();
            record.line(&format!("{id} {} after {} ms", describe(&seen), took.as_millis()));
            samples.lock().unwrap().push((took, matches!(seen, Seen::Answer(_))));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    judge_late(&samples.lock().unwrap(), &gateways, record)
}

/// Judges requests, each with the time to its end and whether it was answered.
fn judge_late(samples: &[(Duration, bool)], gateways: &[Gateway], record: &Record) -> i32 {
    let late = samples.iter().filter(|(took, _)| *took > ENTRY_TIMEOUT).count();
    let limit = ENTRY_TIMEOUT + ANSWER_SLACK;
    let unanswered =
        samples
        .iter()
        .filter(|(took, is_answered)| *took > limit || (!is_answered && *took > ENTRY_TIMEOUT))
        .count();
    let ready = gateways.iter().filter(|gateway| gateway.is_ready()).count();
    let answered = samples.iter().filter(|(_, is_answered)| *is_answered).count();
    let is_broken = late >= LATE_MIN && unanswered * 2 > late;
    let text = format!(
        "{} requests, {answered} answered; unanswered at the timeout {late}, of these half a second later \
         {unanswered}; at the end {ready} of {} gateways answer the readiness check; rule {}",
        samples.len(),
        gateways.len(),
        if is_broken { "broken" } else { "held" }
    );
    record.line(&text);
    println!("{text}");
    if answered == 0 { 2 } else { i32::from(is_broken) }
}
