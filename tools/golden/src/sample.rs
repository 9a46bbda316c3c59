//! Samples of any type that can be deserialized: a deserializer that reads no input and draws each value from a seeded sequence.

use serde::de::value::U32Deserializer;
use serde::de::{
    self, DeserializeOwned, DeserializeSeed, Deserializer, EnumAccess, IntoDeserializer, MapAccess,
    SeqAccess, VariantAccess, Visitor,
};
use std::collections::BTreeSet;
use std::fmt::Debug;

/// Draws of which samples are made; beyond them no new variant is found.
const DRAWS: u64 = 400;
/// Samples at the least.
const SAMPLES_LEAST: usize = 6;
/// Containers inside one another, beyond which they are drawn empty.
const DEPTH_MOST: usize = 12;

type Failure = de::value::Error;

/// Samples of a type: some of each variant of each enum inside it, always the same ones.
pub fn samples<T: DeserializeOwned + Debug>(strings: &[&str]) -> Vec<T> {
    let mut seen = BTreeSet::new();
    let mut kept = Vec::new();
    for seed in 1..=DRAWS {
        let mut sampler = Sampler { state: seed, depth: 0, strings, variants: BTreeSet::new() };
        // A type that checks what it reads may take no notice of a draw.
        let Ok(value) = T::deserialize(&mut sampler) else { continue };
        let is_new = sampler.variants.iter().any(|variant| !seen.contains(variant));
        if is_new || kept.len() < SAMPLES_LEAST {
            seen.extend(sampler.variants);
            kept.push(value);
        }
    }
    kept
}

struct Sampler<'a> {
    state: u64,
    depth: usize,
    strings: &'a [&'a str],
    /// Name of the first variant of an enum, and the variant that was drawn.
    variants: BTreeSet<(&'static str, &'static str)>,
}

impl Sampler<'_> {
    fn draw(&mut self, below: u64) -> u64 {
        // SplitMix64.
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn number(&mut self, most: u64) -> u64 {
        match self.draw(6) {
            0 => 0,
            1 => most,
            2 => self.draw(300).min(most),
            _ => self.draw(100),
        }
    }

    fn length(&mut self) -> usize {
        if self.depth >= DEPTH_MOST { 0 } else { self.draw(3) as usize }
    }

    fn string(&mut self) -> String {
        let at = self.draw(self.strings.len() as u64) as usize;
        self.strings[at].to_owned()
    }
}

/// The elements of a sequence or map that are still to be drawn.
struct Elements<'s, 'a> {
    sampler: &'s mut Sampler<'a>,
    left: usize,
}

impl<'de> SeqAccess<'de> for Elements<'_, '_> {
    type Error = Failure;

    fn next_element_seed<T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>, Failure> {
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        seed.deserialize(&mut *self.sampler).map(Some)
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.left)
    }
}

impl<'de> MapAccess<'de> for Elements<'_, '_> {
    type Error = Failure;

    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, Failure> {
        self.next_element_seed(seed)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Failure> {
        seed.deserialize(&mut *self.sampler)
    }
}

/// A variant of an enum.
struct Drawn<'s, 'a> {
    sampler: &'s mut Sampler<'a>,
    index: u32,
}

impl<'de> EnumAccess<'de> for Drawn<'_, '_> {
    type Error = Failure;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(self, seed: V) -> Result<(V::Value, Self), Failure> {
        let index: U32Deserializer<Failure> = self.index.into_deserializer();
        Ok((seed.deserialize(index)?, self))
    }
}

impl<'de> VariantAccess<'de> for Drawn<'_, '_> {
    type Error = Failure;

    fn unit_variant(self) -> Result<(), Failure> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Failure> {
        seed.deserialize(self.sampler)
    }

    fn tuple_variant<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Failure> {
        self.sampler.deserialize_tuple(len, visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        self.sampler.deserialize_tuple(fields.len(), visitor)
    }
}

/// Values of plain types.
macro_rules! plain {
    ($($method:ident, $visit:ident, |$sampler:ident| $value:expr;)*) => {
        $(
            fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
                let $sampler = self;
                visitor.$visit($value)
            }
        )*
    };
}

impl<'de> Deserializer<'de> for &mut Sampler<'_> {
    type Error = Failure;

    plain! {
        deserialize_bool, visit_bool, |s| s.draw(2) == 1;
        deserialize_u8, visit_u8, |s| s.number(u64::from(u8::MAX)) as u8;
        deserialize_u16, visit_u16, |s| s.number(u64::from(u16::MAX)) as u16;
        deserialize_u32, visit_u32, |s| s.number(u64::from(u32::MAX)) as u32;
        deserialize_u64, visit_u64, |s| s.number(u64::MAX);
        deserialize_i8, visit_i8, |s| s.number(127) as i8;
        deserialize_i16, visit_i16, |s| s.number(300) as i16;
        deserialize_i32, visit_i32, |s| s.number(70_000) as i32;
        deserialize_i64, visit_i64, |s| s.number(5_000_000_000) as i64;
        deserialize_f32, visit_f32, |s| s.draw(1000) as f32 / 8.0;
        deserialize_f64, visit_f64, |s| s.draw(1000) as f64 / 8.0;
        deserialize_char, visit_char, |s| if s.draw(2) == 1 { 'a' } else { 'é' };
        deserialize_str, visit_string, |s| s.string();
        deserialize_string, visit_string, |s| s.string();
        deserialize_bytes, visit_byte_buf, |s| s.string().into_bytes();
        deserialize_byte_buf, visit_byte_buf, |s| s.string().into_bytes();
    }

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Failure> {
        Err(de::Error::custom("this type says nothing of its form: record it by hand"))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        if self.depth >= DEPTH_MOST || self.draw(3) == 0 {
            visitor.visit_none()
        } else {
            visitor.visit_some(self)
        }
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Failure> {
        visitor.visit_unit()
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Failure> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        let length = self.length();
        self.deserialize_tuple(length, visitor)
    }

    fn deserialize_tuple<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Failure> {
        self.depth += 1;
        let result = visitor.visit_seq(Elements { sampler: self, left: len });
        self.depth -= 1;
        result
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, Failure> {
        self.deserialize_tuple(len, visitor)
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        let length = self.length();
        self.depth += 1;
        let result = visitor.visit_map(Elements { sampler: self, left: length });
        self.depth -= 1;
        result
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        self.deserialize_tuple(fields.len(), visitor)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        let index = self.draw(variants.len() as u64) as usize;
        self.variants.insert((variants[0], variants[index]));
        visitor.visit_enum(Drawn { sampler: self, index: index as u32 })
    }

    fn deserialize_identifier<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        self.deserialize_string(visitor)
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        visitor.visit_unit()
    }
}
