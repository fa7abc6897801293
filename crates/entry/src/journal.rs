//! What was already made of each answer, so that a caller can resume by request id.

mod kept;

use contract::{AccountName, CustomerId};
use parking_lot::{Condvar, Mutex};
use policy::route::Choice;
use upstream::engine::ChatRequest;

pub use kept::Journals;

/// Stands between customer and account; names can't contain it, so that no two accounts look the same.
const SEPARATOR: char = ' ';

/// Gives the account that owns a request as one text.
#[must_use]
pub fn owner(customer: &CustomerId, account: &AccountName) -> String {
    format!("{customer}{SEPARATOR}{account}")
}

/// The answer to one request as far as it was made.
#[derive(Debug)]
pub struct Journal {
    /// Customer and account that asked.
    pub owner: String,
    part: Mutex<Made>,
    choices: Mutex<Vec<Choice>>,
    place: Mutex<Place>,
    moved: Condvar,
}

/// Where the answer is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// By this process.
    Here,
    /// A peer is being asked to go on with it.
    Moving,
    /// By a peer.
    Elsewhere,
}

/// Tokens as one text, with the end of each; a text for each token would cost five times the memory.
#[derive(Debug, Default)]
struct Made {
    text: String,
    ends: Vec<u32>,
    ask: Option<ChatRequest>,
    whole: bool,
    failed: bool,
}

/// A part of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Tokens in order.
    pub tokens: Vec<String>,
    /// Whether the answer is whole.
    pub whole: bool,
    /// Whether it ended without being whole.
    pub failed: bool,
}

/// An answer that a peer makes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moved;

impl Journal {
    fn new(owner: String, ask: &ChatRequest) -> Self {
        let made = Made {
            ask: Some(ask.clone()),
            ..Made::default()
        };
        Self {
            owner,
            part: Mutex::new(made),
            choices: Mutex::default(),
            place: Mutex::new(Place::Here),
            moved: Condvar::new(),
        }
    }

    /// Gives the customer that asked.
    #[must_use]
    pub fn customer(&self) -> CustomerId {
        self.owner.split(SEPARATOR).next().unwrap_or_default().into()
    }

    /// Appends a token.
    ///
    /// While a peer is being asked to go on with the answer, this waits for the peer's word: a token that was sent to
    /// the caller after the peer had its copy would be made a second time, and the caller would see two answers mixed.
    ///
    /// # Errors
    /// Fails when a peer goes on with the answer.
    pub fn push(&self, token: &str) -> Result<(), Moved> {
        let _place = self.settled()?;
        let mut made = self.part.lock();
        made.text.push_str(token);
        let end = made.text.len() as u32;
        made.ends.push(end);
        Ok(())
    }

    /// Notes how the answer ended.
    ///
    /// # Errors
    /// Fails when a peer goes on with the answer.
    pub fn end(&self, whole: bool) -> Result<(), Moved> {
        let _place = self.settled()?;
        let mut made = self.part.lock();
        made.whole = whole;
        made.failed = !whole;
        made.ask = None;
        Ok(())
    }

    /// Hands the answer over, if it is still being made here.
    ///
    /// The function gets the request and the tokens so far, and tells whether a peer took them. Returns whether the
    /// answer is made elsewhere now.
    pub fn hand_over(&self, to_peer: impl FnOnce(&ChatRequest, Vec<String>) -> bool) -> bool {
        {
            let mut place = self.place.lock();
            if *place != Place::Here {
                return *place == Place::Elsewhere;
            }
            *place = Place::Moving;
        }
        let ask = self.part.lock().ask.clone();
        let taken = ask.is_some_and(|ask| to_peer(&ask, self.from(0).tokens));
        *self.place.lock() = if taken { Place::Elsewhere } else { Place::Here };
        self.moved.notify_all();
        taken
    }

    /// Tells whether a peer makes the answer.
    #[must_use]
    pub fn is_moved(&self) -> bool {
        *self.place.lock() == Place::Elsewhere
    }

    /// Tells whether the answer is still being made.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.part.lock().ask.is_some()
    }

    /// Notes why an upstream was chosen for an attempt.
    pub fn chose(&self, choice: Choice) {
        self.choices.lock().push(choice);
    }

    /// Gives the record of each attempt's choice.
    #[must_use]
    pub fn choices(&self) -> Vec<Choice> {
        self.choices.lock().clone()
    }

    /// Gives the answer from a position on.
    #[must_use]
    pub fn from(&self, position: usize) -> Part {
        let made = self.part.lock();
        let starts = std::iter::once(0).chain(made.ends.iter().copied());
        let spans = starts.zip(made.ends.iter().copied()).skip(position);
        let tokens = spans.map(|(start, end)| made.text[start as usize..end as usize].to_owned());
        Part {
            tokens: tokens.collect(),
            whole: made.whole,
            failed: made.failed,
        }
    }

    /// Gives the answer so far as one text.
    #[must_use]
    pub fn text(&self) -> String {
        self.part.lock().text.clone()
    }

    /// Gives the number of tokens so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.part.lock().ends.len()
    }

    /// Tells whether no token was made yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives the memory that it takes once it has ended, in bytes.
    fn size(&self) -> usize {
        let made = self.part.lock();
        let weighed: usize = self.choices.lock().iter().map(|choice| choice.weighed.len() + 1).sum();
        size_of::<Self>() + made.text.capacity() + made.ends.capacity() * 4 + weighed * 96
    }

    fn settled(&self) -> Result<parking_lot::MutexGuard<'_, Place>, Moved> {
        let mut place = self.place.lock();
        while *place == Place::Moving {
            self.moved.wait(&mut place);
        }
        if *place == Place::Elsewhere {
            Err(Moved)
        } else {
            Ok(place)
        }
    }
}
