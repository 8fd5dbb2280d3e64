import pathlib
import unittest

from egretstep.settings import reference, schema

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'CONFIGURATION.md'


class ReferenceTest(unittest.TestCase):
    def test_the_page_matches_the_schema(self) -> None:
        self.assertEqual(PAGE.read_text(), reference.make_page())

    def test_every_model_of_the_settings_is_on_the_page(self) -> None:
        defined = {
            model.__name__
            for model in schema.__dict__.values()
            if isinstance(model, type)
            and issubclass(model, schema.Model)
            and model is not schema.Model
        }
        listed = {model.__name__ for model in reference.MODELS}
        self.assertEqual(defined, listed)
