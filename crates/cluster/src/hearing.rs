//! What a datagram brings: who says it, whether that is taken, and what it tells of others.

use crate::gossip::{Asked, GOSSIP};
use crate::identity::Identity;
use crate::interface::{Event, Output, Refused};
use crate::roster::Apart;
use crate::tier::{HEALTH_MOST, Tier};
use crate::wire::{Envelope, sift};
use foca::State as Believed;
use std::time::Duration;

/// Rounds of gossip by which a denial is told, beside what others pass on of it.
const DENIALS: u8 = 6;

impl Tier {
    /// A datagram that is known to come from somebody with the secret.
    pub fn handle(&mut self, now: Duration, payload: &[u8]) -> Result<(), Refused> {
        self.wake(now);
        let taken = self.read(payload);
        match taken {
            Ok(()) => self.counts.taken += 1,
            Err(_) => self.counts.refused += 1,
        }
        taken
    }

    fn read(&mut self, payload: &[u8]) -> Result<(), Refused> {
        let (envelope, body) = Envelope::open(payload)?;
        if envelope.to != self.identity.name {
            return Err(Refused::Misaddressed);
        }
        let from = &envelope.from;
        if from.name == self.identity.name {
            self.namesake(from.start, true);
            return Err(Refused::Own);
        }
        if !self.listed.contains(&from.name) {
            return Err(self.beside(from, Apart::Unlisted));
        }
        self.windows.take(&from.name, from.start, envelope.number).map_err(Refused::Stale)?;
        if let Err(mismatch) = self.settings.wire.meets(from.wire) {
            return Err(self.beside(from, Apart::Speaks(mismatch)));
        }
        let mut news = Vec::new();
        let sifted = sift(body, |record| {
            let kept = record.identity.name == self.identity.name
                || (self.listed.contains(&record.identity.name)
                    && self.settings.wire.meets(record.identity.wire).is_ok());
            news.push(record.clone());
            kept
        })?;
        if sifted.to.name == self.identity.name && sifted.to.start > self.identity.start {
            self.namesake(sifted.to.start, true);
        }
        for record in news {
            self.told(&envelope.from, record);
        }
        if self.silent {
            return Ok(());
        }
        self.notes.borrow_mut().sender = Some(envelope.from);
        let before = self.notes.borrow().incarnation;
        let mut asked = Asked::default();
        // What it calls an error is a datagram that makes no sense: nothing was taken of it, or it was all taken.
        let taken = self.foca.handle_data(&sifted.body, &mut asked);
        self.carry_out(asked);
        if self.notes.borrow().incarnation > before {
            // It had to deny that it is dead: it may be that it does badly itself.
            self.health = (self.health + 1).min(HEALTH_MOST);
            (self.denials, self.deny_at) = (DENIALS, self.last + GOSSIP / 4);
        }
        self.stir();
        match taken {
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig) => {
                Err(Refused::Malformed)
            }
            _ => Ok(()),
        }
    }

    /// Something is told of a member.
    fn told(&mut self, by: &Identity, record: crate::wire::Record) {
        let crate::wire::Record { identity, incarnation, state, left } = record;
        if identity.name == self.identity.name {
            if identity.start != self.identity.start && state != Believed::Down {
                self.namesake(identity.start, false);
            }
            return;
        }
        if left {
            let notes = &mut *self.notes.borrow_mut();
            if self.listed.contains(&identity.name) {
                let start = notes.left.entry(identity.name.clone()).or_default();
                *start = (*start).max(identity.start);
            }
        }
        if let Some((suspicion, of, _)) = self.suspected.get_mut(&identity.name)
            && state == Believed::Suspect
            && *of == identity
            && suspicion.incarnation == incarnation
        {
            suspicion.confirm(&by.name);
        }
        if state == Believed::Down {
            self.roster.gone(self.last, &identity, left);
        } else {
            if !self.listed.contains(&identity.name) {
                self.beside(&identity, Apart::Unlisted);
            } else if let Err(mismatch) = self.settings.wire.meets(identity.wire) {
                self.beside(&identity, Apart::Speaks(mismatch));
            }
        }
    }

    fn beside(&mut self, identity: &Identity, apart: Apart) -> Refused {
        if self.roster.beside(self.last, identity, apart) {
            self.outputs.push(Output::Happened(Event::Beside(identity.name.clone(), apart)));
        }
        Refused::Apart(apart)
    }

    /// Somebody else goes by our name. The later start stays.
    fn namesake(&mut self, start: u64, itself: bool) {
        if start > self.identity.start {
            if !self.silent {
                self.silent = true;
                self.timers.clear();
                self.suspected.clear();
                self.outputs.push(Output::Happened(Event::Superseded(start)));
            }
        } else if start < self.settings.start
            && (itself || self.settings.before.is_some_and(|before| before != start))
            && self.doubled != Some(start)
        {
            self.doubled = Some(start);
            self.outputs.push(Output::Happened(Event::Doubled(start)));
        }
    }
}
