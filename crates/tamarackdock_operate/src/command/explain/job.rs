use std::io::{self, Write};

use serde::Deserialize;

use super::{LeftOut, print_more};

/// Where the items of a job would run.
#[derive(Debug, Deserialize)]
pub(super) struct JobExplanation {
    gateway: String,
    job: String,
    step: u64,
    model: Option<String>,
    ended: bool,
    owner: Option<Owner>,
    epoch: u64,
    item_count: usize,
    items: Option<Items>,
}

#[derive(Debug, Deserialize)]
struct Owner {
    host: String,
    run: String,
    is_live: bool,
    peer_address: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Items {
    service: Option<String>,
    waiting: usize,
    running: usize,
    generated: usize,
    unscored: usize,
    scoring: usize,
    finished: usize,
    listed: Vec<WaitingItem>,
    left_out: Vec<LeftOut>,
}

#[derive(Debug, Deserialize)]
struct WaitingItem {
    item: String,
    waits_for: String,
    #[serde(default)]
    target_count: usize,
    #[serde(default)]
    targets: Vec<ItemTarget>,
}

#[derive(Debug, Deserialize)]
struct ItemTarget {
    id: String,
    running: u32,
    slots: u32,
    may_start: Option<u32>,
    avoided: bool,
}

impl JobExplanation {
    pub(super) fn print(&self, output: &mut dyn Write) -> io::Result<()> {
        let model = self.model.as_deref().unwrap_or("none");
        let ended = if self.ended { ", ended by its client" } else { "" };
        writeln!(
            output,
            "job {}: step {}, model {model}, {} items, epoch {}{ended}",
            self.job, self.step, self.item_count, self.epoch
        )?;
        match &self.owner {
            None => writeln!(output, "owner: none")?,
            Some(Owner { host, run, is_live, peer_address }) => {
                let live = if *is_live { "live" } else { "not live" };
                let address = peer_address.as_deref().unwrap_or("unknown");
                writeln!(output, "owner: {host}, run {run}, {live}, peer address {address}")?;
            }
        }
        match &self.items {
            Some(items) => items.print(output),
            None if self.ended => Ok(()),
            None => {
                writeln!(output, "{} does not run it: ask the gateway of its owner", self.gateway)
            }
        }
    }
}

impl Items {
    fn print(&self, output: &mut dyn Write) -> io::Result<()> {
        match &self.service {
            Some(service) => writeln!(output, "service: {service}")?,
            None => writeln!(output, "service: none, as no route matches the job any more")?,
        }
        writeln!(
            output,
            "items: {} waiting, {} running, {} generated, {} unscored, {} scoring, {} finished",
            self.waiting, self.running, self.generated, self.unscored, self.scoring, self.finished
        )?;
        self.listed.iter().try_for_each(|item| item.print(output))?;
        print_more(self.waiting.saturating_sub(self.listed.len()), output)?;
        self.left_out.iter().try_for_each(|target| target.print(output))
    }
}

impl WaitingItem {
    fn print(&self, output: &mut dyn Write) -> io::Result<()> {
        writeln!(output, "  {}: {}", self.item, self.waits_for)?;
        let target = |target: &ItemTarget| {
            let avoided = if target.avoided { ", avoided" } else { "" };
            let starts =
                target.may_start.map_or(String::new(), |count| format!(", may start {count}"));
            format!("{} ({}/{}{starts}{avoided})", target.id, target.running, target.slots)
        };
        let targets: Vec<String> = self.targets.iter().map(target).collect();
        if targets.is_empty() {
            return Ok(());
        }
        writeln!(output, "    could run on {} targets: {}", self.target_count, targets.join(", "))
    }
}
