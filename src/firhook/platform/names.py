"""Names that the platform uses towards a process, apart from its interfaces."""

#: The environment's variable that holds the path of the settings file.
SETTINGS_VARIABLE = "FIRHOOK_SETTINGS"
