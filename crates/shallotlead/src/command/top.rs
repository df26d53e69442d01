//! `shallotlead top`: a live view of one instance's figures.

use std::time::{Duration, Instant};

use gumdrop::Options;
use ratatui::{
    DefaultTerminal, Frame,
    crossterm::event::{self, Event, KeyCode, KeyModifiers},
    layout::{Constraint, Layout, Rect},
    style::{Color, Modifier, Style},
    text::Line,
    widgets::{Block, Paragraph, Row, Table},
};
use shallotlead_admin::{
    api::{Figures, Status},
    client::Client,
};

use crate::{columns::Columns, command::Failure};

const REFRESH: Duration = Duration::from_secs(1);
const SERVER_TITLES: [&str; 9] =
    ["server", "centre", "model", "state", "weight", "in flight", "waiting", "running", "cache"];

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the figures once, as text")]
    once: bool,
}

/// What the view shows: collected by calls, apart from how it is drawn.
struct Collected {
    figures: Figures,
    status: Status,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &Arguments, client: &Client) -> Result<(), Failure> {
    if arguments.once {
        print(&collect(client)?);
        return Ok(());
    }
    // The first call comes before the terminal is taken over, so that its error stays readable.
    let collected = collect(client)?;
    let mut terminal = ratatui::init();
    let result = watch(&mut terminal, client, collected);
    ratatui::restore();
    result
}

fn collect(client: &Client) -> Result<Collected, Failure> {
    Ok(Collected { figures: client.figures()?, status: client.status()? })
}

fn watch(
    terminal: &mut DefaultTerminal,
    client: &Client,
    mut collected: Collected,
) -> Result<(), Failure> {
    let mut error = None;
    let mut refreshed = Instant::now();
    loop {
        terminal.draw(|frame| draw(frame, &collected, error.as_deref())).map_err(failed)?;
        let wait = REFRESH.saturating_sub(refreshed.elapsed());
        if event::poll(wait).map_err(failed)? && is_end(&event::read().map_err(failed)?) {
            return Ok(());
        }
        if REFRESH <= refreshed.elapsed() {
            refreshed = Instant::now();
            match collect(client) {
                Ok(it) => (collected, error) = (it, None),
                Err(it) => error = Some(it.to_string()),
            }
        }
    }
}

fn failed(error: std::io::Error) -> Failure {
    Failure::Failed(error.to_string())
}

fn is_end(event: &Event) -> bool {
    let Event::Key(key) = event else { return false };
    let interrupt = key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
    interrupt || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc)
}

fn draw(frame: &mut Frame<'_>, collected: &Collected, error: Option<&str>) {
    let figures = &collected.figures;
    let limits = u16::try_from(figures.limits.len().min(8) + 3).unwrap_or(3);
    let prefixes = u16::try_from(figures.prefixes.len().min(8) + 3).unwrap_or(3);
    let [head, servers, below] = Layout::vertical([
        Constraint::Length(5),
        Constraint::Min(4),
        Constraint::Length(limits.max(prefixes)),
    ])
    .areas(frame.area());
    draw_head(frame, head, collected, error);
    draw_servers(frame, servers, figures);
    let [left, right] =
        Layout::horizontal([Constraint::Percentage(50), Constraint::Percentage(50)]).areas(below);
    draw_prefixes(frame, left, figures);
    draw_limits(frame, right, figures);
}

fn draw_head(frame: &mut Frame<'_>, area: Rect, collected: &Collected, error: Option<&str>) {
    let mut lines = summary(collected).into_iter().map(Line::from).collect::<Vec<_>>();
    if let Some(error) = error {
        lines.push(Line::styled(error.to_owned(), Style::new().fg(Color::Red)));
    }
    let title = format!(" shallotlead {} — q ends ", collected.figures.instance);
    frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(title)), area);
}

fn summary(collected: &Collected) -> Vec<String> {
    let Collected { figures, status } = collected;
    let first = &figures.first_token_ms;
    let platform = if status.platform.available { "available" } else { "unavailable" };
    vec![
        format!(
            "open {}  queued {}  answered {}  refused {}  hit rate {:.1}%",
            figures.open,
            figures.queued,
            figures.answered,
            figures.refused,
            100.0 * figures.hit_rate
        ),
        format!(
            "first token p50 {:.0} ms  p95 {:.0} ms  p99 {:.0} ms",
            first.p50, first.p95, first.p99
        ),
        format!(
            "table version {} here, {} everywhere  instances {}  platform {platform}",
            status.version,
            status.oldest,
            status.instances.len()
        ),
    ]
}

fn server_cells(figures: &Figures) -> Vec<[String; 9]> {
    let cells = |it: &shallotlead_admin::api::Server| {
        // Only keepers in the instance's own data centre report each server's load.
        let reported = |text: String| {
            if it.load_age_ms.is_some() { text } else { "-".to_owned() }
        };
        [
            it.name.clone(),
            it.centre.clone(),
            it.model.clone(),
            it.state.clone(),
            it.weight.to_string(),
            it.inflight.to_string(),
            reported(it.waiting.to_string()),
            reported(it.running.to_string()),
            reported(format!("{:.0}%", 100.0 * it.cache_used)),
        ]
    };
    figures.servers.iter().map(cells).collect()
}

fn draw_servers(frame: &mut Frame<'_>, area: Rect, figures: &Figures) {
    let rows = server_cells(figures).into_iter().map(|cells| {
        let color = match cells[3].as_str() {
            "up" => Color::Reset,
            "leaving" => Color::Yellow,
            _ => Color::Red,
        };
        Row::new(cells).style(Style::new().fg(color))
    });
    let widths = [Constraint::Fill(2), Constraint::Fill(2), Constraint::Fill(2)]
        .into_iter()
        .chain(std::iter::repeat_n(Constraint::Fill(1), SERVER_TITLES.len() - 3));
    let header = Row::new(SERVER_TITLES).style(Style::new().add_modifier(Modifier::BOLD));
    let table = Table::new(rows, widths).header(header);
    frame.render_widget(table.block(Block::bordered().title(" backend servers ")), area);
}

fn draw_prefixes(frame: &mut Frame<'_>, area: Rect, figures: &Figures) {
    let rows = figures.prefixes.iter().map(|it| {
        let rate = format!("{:.2}/s", it.requests_per_second);
        Row::new([it.block.clone(), rate, format!("{} replicas", it.replicas)])
    });
    let table = Table::new(rows, [Constraint::Fill(2), Constraint::Fill(1), Constraint::Fill(1)]);
    frame.render_widget(table.block(Block::bordered().title(" hot prefixes ")), area);
}

fn draw_limits(frame: &mut Frame<'_>, area: Rect, figures: &Figures) {
    let rows = figures.limits.iter().map(|it| {
        let used = format!("{:.1} of {:.1}", it.used, it.share);
        Row::new([it.scope.clone(), it.column.clone(), used, format!("of {}", it.limit)])
    });
    let widths =
        [Constraint::Fill(2), Constraint::Fill(2), Constraint::Fill(1), Constraint::Fill(1)];
    let block = Block::bordered().title(" limits in play ");
    frame.render_widget(Table::new(rows, widths).block(block), area);
}

fn print(collected: &Collected) {
    for line in summary(collected) {
        println!("{line}");
    }
    let mut columns = Columns::new(SERVER_TITLES);
    for cells in server_cells(&collected.figures) {
        columns.push(cells);
    }
    print!("\n{columns}");
}
