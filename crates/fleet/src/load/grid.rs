//! The grid that the instances of a data centre form to spread reports.

use shallotlead_base::name;

use crate::context::Context;

/// Up to this many instances form a single row, in which each sends to all others.
const MAX_SINGLE_ROW: usize = 8;

/// The grid of a data centre's live instances, and this instance's position in it.
#[derive(Debug)]
pub(crate) struct Grid<'a> {
    names: Vec<&'a name::Instance>,
    position: usize,
    width: usize,
}

impl<'a> Grid<'a> {
    /// The grid, unless this instance doesn't count as live itself.
    pub(crate) fn new(ctx: &Context<'a>) -> Option<Self> {
        let centre = &ctx.view.get(ctx.me)?.member.centre;
        // In order of name, so that instances with the same members build the same grid.
        let names = ctx.view.live_in_centre(centre).map(|it| &it.name).collect::<Vec<_>>();
        let position = names.iter().position(|it| *it == ctx.me)?;
        let width =
            if names.len() <= MAX_SINGLE_ROW { names.len() } else { sqrt_rounded_up(names.len()) };
        Some(Self { names, position, width })
    }

    /// The others of this instance's row.
    pub(crate) fn row(&self) -> impl Iterator<Item = &'a name::Instance> {
        let start = self.position / self.width * self.width;
        let end = (start + self.width).min(self.names.len());
        let others = (start..end).filter(|it| *it != self.position);
        others.map(|it| self.names[it])
    }

    /// The others of this instance's column. If its row is shorter than the others, the columns that
    /// are missing there are divided among the members of this row.
    pub(crate) fn column(&self) -> impl Iterator<Item = &'a name::Instance> {
        let row = self.position / self.width;
        let start = row * self.width;
        let len = (start + self.width).min(self.names.len()) - start;
        let column = self.position - start;
        let others = (0..self.names.len())
            .filter(move |it| it / self.width != row && it % self.width % len == column);
        others.map(|it| self.names[it])
    }
}

/// The square root, rounded up.
fn sqrt_rounded_up(count: usize) -> usize {
    let root = count.isqrt();
    if root * root < count { root + 1 } else { root }
}
