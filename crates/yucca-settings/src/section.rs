//! Declaration of settings.

/// Declares a section of settings: a struct with its documentation and its reader.
///
/// The doc comment of a field is its description in the printed defaults. A field with `= default`
/// or of type `Option` or `Vec` may be absent from the file; any other field is required.
///
/// ```
/// yucca_settings::section! {
///     /// Settings of a process.
///     #[derive(Debug, Clone)]
///     pub struct Settings {
///         /// Name of the deployment.
///         pub deployment: String,
///         /// Interval between reports of the process.
///         pub heartbeat: yucca_wire::unit::Span = "200ms",
///     }
/// }
///
/// let settings: Settings = yucca_settings::read("deployment = \"kelani\"", "a.toml").unwrap();
/// assert_eq!(settings.heartbeat.to_string(), "200ms");
/// ```
#[macro_export]
macro_rules! section {
    (
        $(#[$outer:meta])*
        $vis:vis struct $name:ident {
            $(
                $(#[doc = $doc:literal])+
                $fvis:vis $field:ident : $ty:ty $(= $default:literal)?
            ),+ $(,)?
        }
    ) => {
        $(#[$outer])*
        $vis struct $name {
            $( $(#[doc = $doc])+ $fvis $field: $ty, )+
        }

        impl $crate::reader::Section for $name {
            const FIELDS: &'static [$crate::field::Field] = &[
                $( $crate::field::Field {
                    name: stringify!($field),
                    description: &[$($doc),+],
                    default: $crate::section!(@default $($default)?),
                    shape: <$ty as $crate::value::Value>::shape,
                } ),+
            ];

            fn read(
                table: &$crate::reader::Table<'_>,
                reader: &mut $crate::reader::Reader<'_>,
            ) -> Option<Self> {
                let mut fields = Self::FIELDS.iter();
                $( let $field = fields.next().and_then(|field| table.field(field, reader)); )+
                Some(Self { $( $field: $field? ),+ })
            }
        }

        impl $crate::value::Value for $name {
            fn shape() -> $crate::field::Shape {
                $crate::field::Shape::Table(<Self as $crate::reader::Section>::FIELDS)
            }

            fn read(
                node: &$crate::reader::Node<'_>,
                path: &str,
                reader: &mut $crate::reader::Reader<'_>,
            ) -> Option<Self> {
                $crate::value::read_section(node, path, reader)
            }
        }
    };
    (@default) => { None };
    (@default $default:literal) => { Some(stringify!($default)) };
}
